//! Prints the results of the moves.

use crate::TERM_MS;
use crate::cases::{Case, Fault, Onset};
use crate::policy::{End, Score};

pub(crate) fn report(title: &str, cases: &[Case], scores: &[Score]) {
    let pairs = || cases.iter().zip(scores);
    let good: Vec<_> = pairs().filter(|(case, _)| case.good()).collect();
    let bad: Vec<_> = pairs().filter(|(case, _)| !case.good()).collect();
    let timely = |s: &Score| s.end == End::Done && s.elapsed_ms <= TERM_MS;
    let in_time = good.iter().filter(|(_, s)| timely(s)).count();
    let wrong = good.iter().filter(|(_, s)| s.end == End::Back).count();
    let back = bad.iter().filter(|(_, s)| s.end == End::Back).count();
    let spoilt: u64 = bad.iter().map(|(_, s)| s.spoilt).sum();
    let planned: f64 = bad.iter().map(|(_, s)| s.planned).sum();
    let requests: u64 = bad.iter().map(|(_, s)| s.requests).sum();
    let after_fault: u64 = bad.iter().map(|(_, s)| s.after_fault).sum();
    let worst = bad
        .iter()
        .map(|(_, s)| s.spoilt as f64 / s.planned)
        .fold(0.0, f64::max);
    let over = bad
        .iter()
        .filter(|(_, s)| s.spoilt as f64 > s.planned * 0.01)
        .count();
    println!("{title}");
    println!("  good finished in time   {in_time} of {}", good.len());
    println!("  good taken back wrongly {wrong} of {}", good.len());
    println!("  bad taken back          {back} of {}", bad.len());
    println!(
        "  spoilt, of requests in the time given   {:.3} %",
        100.0 * spoilt as f64 / planned
    );
    println!(
        "  spoilt, of requests until the end       {:.3} %",
        100.0 * spoilt as f64 / requests as f64
    );
    println!(
        "  spoilt, of requests since the first sign {:.3} %",
        100.0 * spoilt as f64 / after_fault.max(1) as f64
    );
    println!(
        "  worst move {:.2} % spoilt; {over} moves over 1 %",
        100.0 * worst
    );
}

pub(crate) fn misses(cases: &[Case], scores: &[Score]) {
    println!("misses and moves with over 1 % spoilt");
    for (case, score) in cases.iter().zip(scores) {
        let timely = score.end == End::Done && score.elapsed_ms <= TERM_MS;
        let spoilt = 100.0 * score.spoilt as f64 / score.planned;
        let as_expected = if case.good() {
            timely
        } else {
            score.end == End::Back
        };
        if !as_expected || spoilt > 1.0 {
            let sign = score.first_fault.unwrap_or(0) / 1000;
            println!(
                "  seed {} mix {} rate {} {:?} {:?} {:?} from {:.2}: {:?} at {} s, sign at {sign} s, spoilt {spoilt:.2} %; {}",
                case.seed,
                case.mix,
                case.rate,
                case.fault,
                case.onset,
                case.disturbance,
                case.from,
                score.end,
                score.elapsed_ms / 1000,
                score.reason
            );
        }
    }
}

/// Predicate for the cases of a kind.
pub(crate) type Kind = fn(&Case) -> bool;

pub(crate) fn by_kind(cases: &[Case], scores: &[(Score, Score)]) {
    println!("by kind: bad taken back (of all), spoilt of requests in the time given; ramp beside");
    let kinds: [(&str, Kind); 8] = [
        ("at once", |c| c.onset == Onset::Once),
        ("late", |c| c.onset == Onset::Late),
        ("under load", |c| matches!(c.onset, Onset::Loaded(_))),
        ("one route", |c| matches!(c.onset, Onset::Route(_))),
        ("failing", |c| matches!(c.fault, Fault::Fail(_))),
        ("slow", |c| matches!(c.fault, Fault::Slow(_))),
        ("8 a second", |c| c.rate < 10.0),
        ("400 a second", |c| c.rate > 100.0),
    ];
    for (name, fits) in kinds {
        let batch: Vec<_> = cases
            .iter()
            .zip(scores)
            .filter(|(case, _)| !case.good() && fits(case))
            .map(|(_, pair)| pair)
            .collect();
        let line = |score: fn(&(Score, Score)) -> &Score| {
            let all: Vec<&Score> = batch.iter().map(|pair| score(pair)).collect();
            let back = all.iter().filter(|s| s.end == End::Back).count();
            let spoilt: u64 = all.iter().map(|s| s.spoilt).sum();
            let planned: f64 = all.iter().map(|s| s.planned).sum();
            format!(
                "{back:4} of {:3}  {:7.3} %",
                all.len(),
                100.0 * spoilt as f64 / planned
            )
        };
        println!("  {name:13}{}   ramp {}", line(|p| &p.0), line(|p| &p.1));
    }
}
