//! Generates traces from a seed. The committed traces are its output, which a
//! test checks; the benchmark generates longer ones.

#![allow(dead_code, reason = "the tests and the benchmark each use a part")]

use super::driver::Arrival;

/// Class of work in a trace.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Name.
    pub name: &'static str,
    /// Mean prompt length in tokens.
    pub prompt: f64,
    /// Mean answer length in tokens.
    pub answer: f64,
    /// Time within which it must be answered, in milliseconds.
    pub within: u64,
}

/// Tags for messages: short requests.
pub const TAG: Class = Class {
    name: "tag",
    prompt: 150.0,
    answer: 20.0,
    within: 3_000,
};
/// Chats with guests: medium requests.
pub const CHAT: Class = Class {
    name: "chat",
    prompt: 300.0,
    answer: 200.0,
    within: 8_000,
};
/// Season plans: long requests.
pub const PLAN: Class = Class {
    name: "plan",
    prompt: 2_500.0,
    answer: 1_500.0,
    within: 60_000,
};

/// A stream of arrivals of one customer and class.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Customer.
    pub customer: &'static str,
    /// Class of work.
    pub class: Class,
    /// Arrivals per second.
    pub rate: f64,
    /// Start and end in seconds.
    pub span: (f64, f64),
}

/// Arrivals of all streams in order of time, with exponentially distributed gaps and lengths.
pub fn trace(streams: &[Stream], seed: u64) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut all = Vec::new();
    for stream in streams {
        let mut at = stream.span.0;
        loop {
            at += exponential(&mut rng) / stream.rate;
            if at >= stream.span.1 {
                break;
            }
            all.push(arrival(&mut rng, stream, at));
        }
    }
    all.sort_by_key(|a| a.at);
    all
}

fn exponential(rng: &mut fastrand::Rng) -> f64 {
    -(1.0 - rng.f64()).ln()
}

fn arrival(rng: &mut fastrand::Rng, stream: &Stream, at: f64) -> Arrival {
    let class = stream.class;
    let prompt = (class.prompt * (0.5 + exponential(rng).min(3.0) / 2.0)) as u32;
    let answer = (class.answer * (0.5 + exponential(rng).min(3.0) / 2.0)) as u32;
    let part = 0.6 + 0.4 * rng.f64();
    Arrival {
        at: (at * 1e3) as u64,
        customer: stream.customer.into(),
        class: class.name.into(),
        prompt,
        answer,
        takes: prompt + (f64::from(answer) * part) as u32,
        within: class.within,
        repeatable: rng.f64() < 0.9,
    }
}

/// Streams of three customers that together demand `load` times 4,000 units per
/// second, a third of the work each in tags, chats and plans.
pub fn mixed(load: f64, seconds: f64) -> Vec<Stream> {
    let stream = |customer, class: Class| {
        let work = class.prompt + class.answer * 0.8;
        Stream {
            customer,
            class,
            rate: load * 4_000.0 / 3.0 / work,
            span: (0.0, seconds),
        }
    };
    vec![
        stream("desk", TAG),
        stream("guests", CHAT),
        stream("planners", PLAN),
    ]
}

/// As [`mixed`] without plans, whose long deadlines a short trace never reaches.
pub fn short(load: f64, seconds: f64) -> Vec<Stream> {
    let streams = mixed(load * 1.5, seconds);
    let short = streams.into_iter().filter(|s| s.class.name != PLAN.name);
    short.collect()
}

/// A tenfold burst of chats for five seconds on top of a light load.
pub fn burst() -> Vec<Stream> {
    let mut streams = mixed(0.4, 30.0);
    streams.push(Stream {
        customer: "guests",
        class: CHAT,
        rate: 30.0,
        span: (10.0, 15.0),
    });
    streams
}

/// One customer sends chats at a high rate, another at a low rate.
pub fn flood() -> Vec<Stream> {
    let chats = |customer, rate| Stream {
        customer,
        class: CHAT,
        rate,
        span: (0.0, 30.0),
    };
    vec![chats("flood", 25.0), chats("quiet", 1.0)]
}

/// Long requests mixed with short ones, near saturation.
pub fn long() -> Vec<Stream> {
    vec![
        Stream {
            customer: "planners",
            class: PLAN,
            rate: 1.2,
            span: (0.0, 40.0),
        },
        Stream {
            customer: "desk",
            class: TAG,
            rate: 4.0,
            span: (0.0, 40.0),
        },
    ]
}

/// The committed traces by name, generated from their seeds.
pub fn committed() -> Vec<(&'static str, Vec<Arrival>)> {
    vec![
        ("burst", trace(&burst(), 11)),
        ("flood", trace(&flood(), 12)),
        ("slow", trace(&mixed(0.7, 40.0), 13)),
        ("long", trace(&long(), 14)),
        ("saturation-1", trace(&short(1.0, 15.0), 15)),
        ("saturation-2", trace(&short(2.0, 15.0), 16)),
        ("saturation-5", trace(&short(5.0, 15.0), 17)),
    ]
}
