//! Daemons whose hosts are partitioned from all endpoints, while callers, the store and the other
//! daemons still reach them.

use std::time::{Duration, Instant};

use futures::future::join_all;
use poplarvale_standin::{
    Endpoint, Fault, Proxy, SeenRequest, Step, ask, event, plain, rejection, request, stream,
};
use poplarvaled::Relay;

use crate::relay_site::{free_port, start_daemon, store_with};

const ENDPOINTS: usize = 4;
/// Time after the begin of a partition from which on callers must be served again.
pub(crate) const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time during which requests are counted.
pub(crate) const WINDOW: Duration = Duration::from_secs(3);
/// Time between two requests at one daemon.
const PAUSE: Duration = Duration::from_millis(60);
/// Smallest share of first attempts at partitioned hosts that are served, of the share at others.
pub(crate) const MIN_SHARE: f64 = 2.0 / 3.0;

/// Path of a stream that pauses in the middle, and that only the endpoint which began it goes on
/// with.
const PAUSED_STREAM: &str = "/resume/paused";
/// Its pause, which is longer than daemons wait for each other.
const STREAM_PAUSE: Duration = Duration::from_millis(1400);
/// Path of a stream that runs for more than a second.
const LONG_STREAM: &str = "/stream/long";

/// Two daemons that reach the same endpoints, each through proxies of its own.
struct Pair {
    endpoints: Vec<Endpoint>,
    proxies: Vec<Proxy>,
    cut_off: Relay,
    other: Relay,
}

pub(crate) fn respond(seen: &SeenRequest) -> Vec<Step> {
    let is_stream = ["/resume/", "/stream/"]
        .iter()
        .any(|prefix| seen.target().starts_with(prefix));
    if !is_stream {
        return vec![
            Step::Wait(Duration::from_millis(10)),
            plain(seen, 200, "done"),
        ];
    }
    if seen.target() == PAUSED_STREAM {
        if !seen.last_event().is_empty() {
            return vec![rejection(seen)];
        }
        let end = Step::Send("0\r\n\r\n".into());
        return vec![
            stream(seen),
            event(0),
            Step::Wait(STREAM_PAUSE),
            event(1),
            end,
        ];
    }
    let first = seen.last_event().parse::<u64>().map_or(0, |last| last + 1);
    let pause = if seen.target() == LONG_STREAM {
        Duration::from_millis(400)
    } else {
        Duration::from_millis(20)
    };
    let mut steps = vec![stream(seen)];
    for number in first..4 {
        steps.push(Step::Wait(pause));
        steps.push(event(number));
    }
    steps.push(Step::Send("0\r\n\r\n".into()));
    steps
}

impl Pair {
    /// Starts both daemons on addresses `127.0.NUMBER.1` and `.2`.
    async fn start(number: usize) -> Self {
        let ids = (0..ENDPOINTS)
            .map(|id| async move { Endpoint::start(&format!("i-{id}"), respond).await });
        let endpoints = join_all(ids).await;
        let proxies = join_all(endpoints.iter().map(|row| Proxy::start(row.address))).await;
        let refs: Vec<&Endpoint> = endpoints.iter().collect();
        let (behind, direct) = (store_with(&refs).await, store_with(&refs).await);
        for (endpoint, proxy) in endpoints.iter().zip(&proxies) {
            let entry = endpoint.entry("app", "ready");
            let entry = entry.replace(&endpoint.address.to_string(), &proxy.address.to_string());
            behind.put(&format!("servers/{}", endpoint.id), entry.as_bytes());
        }
        let port = free_port(number);
        let (cut_off, other) = tokio::join!(
            start_daemon(number, 1, port, behind.address, &[]),
            start_daemon(number, 2, port, direct.address, &[]),
        );
        let pair = Self {
            endpoints,
            proxies,
            cut_off,
            other,
        };
        tokio::time::sleep(Duration::from_secs(1)).await;
        pair
    }

    /// Partitions the first daemon from all endpoints: new connections are refused, and open ones
    /// have this fault.
    fn cut(&self, open: Fault) {
        for proxy in &self.proxies {
            proxy.set(open);
            proxy.set_refusing(true);
        }
    }

    fn heal(&self) {
        for proxy in &self.proxies {
            proxy.set(Fault::None);
            proxy.set_refusing(false);
        }
    }

    /// How often a request ran at any endpoint.
    fn runs(&self, id: &str) -> usize {
        let seen = self.endpoints.iter().map(|row| {
            let seen = row.seen();
            seen.iter().filter(|seen| seen.id() == id).count()
        });
        seen.sum()
    }
}

/// Sends requests of all kinds to a daemon for a time. Returns which of them were answered in full,
/// by id.
pub(crate) async fn send_all(relay: &Relay, name: &str, time: Duration) -> Vec<(String, bool)> {
    let end = Instant::now() + time;
    let prefixes = ["/safe/", "/once/", "/resume/", "/stream/"];
    let mut sent = Vec::new();
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let prefix = prefixes[number % prefixes.len()];
        let id = format!("{name}-{number}");
        let method = if prefix == "/safe/" { "GET" } else { "POST" };
        let text = request(method, &format!("{prefix}a"), &id, "Content-Length: 0\r\n");
        let address = relay.callers();
        sent.push(actix_web::rt::spawn(async move {
            let answer = ask(address, &text).await;
            (
                id,
                answer.is_ok_and(|answer| answer.status == 200 && answer.complete),
            )
        }));
        tokio::time::sleep(PAUSE).await;
    }
    let results = join_all(sent).await.into_iter();
    results.map(|result| result.expect("no panic")).collect()
}

pub(crate) fn served_share(sent: &[(String, bool)]) -> f64 {
    sent.iter().filter(|row| row.1).count() as f64 / sent.len() as f64
}

/// A host is partitioned from all endpoints for seconds, and its daemon only rejects, though the
/// other daemons could serve its callers. The kept connections of the host are reset, hang, or
/// live on while new ones are refused.
#[actix_web::test]
async fn callers_of_a_host_that_is_cut_off_from_all_endpoints_are_served() {
    let faults = [Fault::Reset, Fault::Blocked, Fault::None];
    let shares = faults.iter().zip(91..).map(|(fault, number)| async move {
        let pair = Pair::start(number).await;
        send_all(&pair.cut_off, "before", Duration::from_secs(1)).await;
        pair.cut(*fault);
        send_all(&pair.cut_off, "early", CONTACT_TIME).await;
        let (cut_off, others) = tokio::join!(
            send_all(&pair.cut_off, "cut", WINDOW),
            send_all(&pair.other, "other", WINDOW),
        );
        for (id, _) in &cut_off {
            assert!(pair.runs(id) <= 1, "{id} ran {} times", pair.runs(id));
        }
        pair.heal();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let after = send_all(&pair.cut_off, "after", Duration::from_secs(1)).await;
        let shares = (served_share(&cut_off), served_share(&others));
        (*fault, shares, served_share(&after))
    });
    for (fault, (cut_off, others), after) in join_all(shares).await {
        assert!(
            cut_off >= others * MIN_SHARE,
            "{fault:?}: {cut_off} of the attempts are served, {others} at the other daemon"
        );
        assert!(
            after >= MIN_SHARE,
            "{fault:?}: {after} are served afterwards"
        );
    }
}

/// What separates a host from all endpoints accepts connections and swallows all data. Guards against
/// a daemon that takes connections that are accepted for proof that it reaches endpoints.
#[actix_web::test]
async fn callers_of_a_host_whose_links_swallow_data_are_served() {
    let pair = Pair::start(97).await;
    send_all(&pair.cut_off, "before", Duration::from_secs(1)).await;
    for proxy in &pair.proxies {
        proxy.set(Fault::Blocked);
    }
    send_all(&pair.cut_off, "early", CONTACT_TIME).await;
    let (cut_off, others) = tokio::join!(
        send_all(&pair.cut_off, "cut", WINDOW),
        send_all(&pair.other, "other", WINDOW),
    );
    pair.heal();
    tokio::time::sleep(CONTACT_TIME).await;
    let after = send_all(&pair.cut_off, "after", Duration::from_secs(1)).await;
    let (cut_off, others) = (served_share(&cut_off), served_share(&others));
    assert!(
        cut_off >= others * MIN_SHARE,
        "{cut_off} of the attempts are served, {others} at the other daemon"
    );
    let after = served_share(&after);
    assert!(after >= MIN_SHARE, "{after} are served afterwards");
}

/// A host is partitioned from all endpoints while it has requests in progress. New connections are
/// refused as by crashed endpoints, and the requests were suspected of having crashed them:
/// requests with the same content were then quarantined by all daemons.
#[actix_web::test]
async fn a_host_that_is_cut_off_from_all_endpoints_suspects_no_request() {
    let pair = Pair::start(94).await;
    let text = |id: usize| request("GET", LONG_STREAM, &format!("r{id}"), "");
    let address = pair.cut_off.callers();
    let streams = (0..ENDPOINTS * 3).map(|id| {
        let text = text(id);
        actix_web::rt::spawn(async move { ask(address, &text).await.is_ok() })
    });
    let streams: Vec<_> = streams.collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let busy = pair.endpoints.iter().filter(|row| !row.seen().is_empty());
    assert!(busy.count() >= 3, "streams run at several endpoints");
    pair.cut(Fault::Reset);
    join_all(streams).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let answer = ask(pair.other.callers(), &text(99)).await;
    assert_eq!(answer.expect("an answer").status, 200);
}

/// A stream that another daemon serves is given up after a pause of its endpoint, although nobody
/// else can continue it.
#[actix_web::test]
async fn a_forwarded_stream_survives_the_pause_of_its_endpoint() {
    let pair = Pair::start(95).await;
    pair.cut(Fault::Reset);
    send_all(&pair.cut_off, "early", Duration::from_secs(1)).await;
    let text = request("GET", PAUSED_STREAM, "r1", "");
    let answer = ask(pair.cut_off.callers(), &text).await;
    let answer = answer.expect("an answer");
    assert!(answer.complete, "only {:?} arrived", answer.body);
}
