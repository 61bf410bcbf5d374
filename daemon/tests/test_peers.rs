//! Gossip between daemons over real connections.

use std::net::SocketAddr;
use std::time::Instant;

use actix::{Actor, Addr, Context, Handler};
use poplarvale_lib::gossip::{Change, Kind, MAX_DELTA_BYTES, Peer, Replica, Setup};
use poplarvale_lib::protos::peer::{Answer, Delta, Digest, Lane, Push};
use poplarvaled::peers::{
    Changed, Client, Get, Gossip, Listener, Live, Parts, PeerError, Put, Round, Server, Token,
};
use tokio::sync::mpsc;

const TOKEN: &str = "the token of the deployment";

/// Forwards changes to the test.
struct Watcher(mpsc::UnboundedSender<Change>);

impl Actor for Watcher {
    type Context = Context<Self>;
}

impl Handler<Changed> for Watcher {
    type Result = ();

    fn handle(&mut self, msg: Changed, _: &mut Self::Context) {
        for change in msg.0 {
            // The test may have ended.
            let _ = self.0.send(change);
        }
    }
}

/// The gossip part of a daemon.
struct Daemon {
    gossip: Addr<Gossip>,
    server: Server,
    changes: mpsc::UnboundedReceiver<Change>,
}

async fn start(incarnation: u64, seeds: Vec<SocketAddr>) -> Daemon {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    start_at(any, incarnation, seeds).await
}

async fn start_at(address: SocketAddr, incarnation: u64, seeds: Vec<SocketAddr>) -> Daemon {
    let listener = Listener::bind(address).await;
    let listener = listener.expect("a free port");
    let setup = Setup {
        me: Peer {
            incarnation,
            zone: "brno".into(),
            region: "cechy-morava".into(),
            address: listener.address,
        },
        seeds,
        delta_bytes: MAX_DELTA_BYTES,
    };
    let (sender, changes) = mpsc::unbounded_channel();
    let watcher = Watcher(sender).start().recipient();
    let replica = Replica::new(setup, Instant::now());
    let gossip = Gossip::untimed(replica, Client::new(token(TOKEN)), watcher).start();
    let server = listener
        .serve(token(TOKEN), gossip.clone(), Parts::default())
        .await;
    Daemon {
        gossip,
        server: server.expect("a bound socket"),
        changes,
    }
}

fn token(text: &str) -> Token {
    Token::new(text).expect("not blank")
}

async fn put(daemon: &Daemon, kind: Kind, name: &str, value: &[u8]) {
    let put = Put {
        kind,
        name: name.into(),
        value: value.to_vec(),
    };
    let result = daemon.gossip.send(put).await.expect("the actor runs");
    result.expect("within limits");
}

async fn get(daemon: &Daemon, origin: u64, kind: Kind, name: &str) -> Option<Vec<u8>> {
    let key = kind.key(name);
    let get = Get { origin, key };
    daemon.gossip.send(get).await.expect("the actor runs")
}

async fn live(daemon: &Daemon) -> Vec<u64> {
    let live = daemon.gossip.send(Live).await.expect("the actor runs");
    live.into_iter().map(|p| p.incarnation).collect()
}

#[actix::test]
async fn two_peers_have_the_same_rows_after_a_round() {
    let a = start(1, Vec::new()).await;
    let mut b = start(2, vec![a.server.address]).await;
    put(&a, Kind::EVIDENCE, "chat/v2", b"good").await;
    put(&b, Kind::DEMAND, "aaltoranta", b"many").await;
    assert_eq!(b.gossip.send(Round).await, Ok(1));
    assert_eq!(
        get(&b, 1, Kind::EVIDENCE, "chat/v2").await,
        Some(b"good".into())
    );
    assert_eq!(
        get(&a, 2, Kind::DEMAND, "aaltoranta").await,
        Some(b"many".into())
    );
    assert_eq!(live(&a).await, [1, 2]);
    assert_eq!(live(&b).await, [1, 2]);
    let first = b.changes.recv().await;
    assert!(matches!(first, Some(Change::Joined(peer)) if peer.incarnation == 1));
}

// An endpoint is about to leave. Its zone must learn it at once, not only in the next gossip round.
#[actix::test]
async fn an_urgent_row_is_pushed_without_a_round() {
    let a = start(1, Vec::new()).await;
    let mut b = start(2, vec![a.server.address]).await;
    assert_eq!(b.gossip.send(Round).await, Ok(1));
    put(&a, Kind::ENDPOINT, "e1", b"leaving").await;
    loop {
        let change = b.changes.recv().await.expect("the watcher runs");
        if let Change::Put { origin, key, value } = change {
            assert_eq!((origin, key), (1, Kind::ENDPOINT.key("e1")));
            assert_eq!(*value, *b"leaving");
            break;
        }
    }
}

// An unauthorized client calls the peers' port with a wrong token, or one that is nearly right. If
// it could read, it would learn every customer; if it could write, it could disable endpoints and
// versions for all daemons.
#[actix::test]
async fn rows_cannot_be_read_or_written_without_the_token() {
    let a = start(1, Vec::new()).await;
    put(&a, Kind::EVIDENCE, "chat/v2", b"good").await;
    let to = a.server.address;
    let digest = Digest {
        from: Some(unauthorized_peer()),
        ..Digest::default()
    };
    for wrong in [
        "x",
        "the token of the deploymenu",
        "the token of the deployment2",
    ] {
        let client = Client::new(token(wrong));
        assert_rejected(&client.exchange(to, &digest).await);
        assert_rejected(&client.settle(to, &delta_of_unauthorized_peer()).await);
        let push = Push {
            from: Some(unauthorized_peer()),
            rows: Vec::new(),
        };
        assert_rejected(&client.push(to, &push).await);
        assert_rejected(&client.get_lists(to, 0, 0).await);
    }
    assert_eq!(live(&a).await, [1]);
    let authorized = Client::new(token(TOKEN));
    assert!(
        authorized.exchange(to, &digest).await.is_ok(),
        "the same call with the right token"
    );
}

#[test]
fn a_blank_token_is_invalid() {
    assert!(Token::new("").is_none());
    assert!(Token::new(" \n").is_none());
}

/// A delta that the daemon would accept with the right token.
fn delta_of_unauthorized_peer() -> Delta {
    let lane = Lane {
        origin: 9,
        scope: 2,
        prefix: 1,
        left_ms: 1_200_000,
        peer: Some(unauthorized_peer()),
        ..Lane::default()
    };
    Delta {
        to: 1,
        stamp: 0,
        lanes: vec![lane],
    }
}

fn unauthorized_peer() -> poplarvale_lib::protos::peer::Peer {
    poplarvale_lib::protos::peer::Peer {
        incarnation: 9,
        zone: "brno".to_owned(),
        region: "cechy-morava".to_owned(),
        address: "127.0.0.1:9".to_owned(),
    }
}

fn assert_rejected<T: std::fmt::Debug>(result: &Result<T, PeerError>) {
    assert!(
        matches!(result, Err(PeerError::Rejected(6001))),
        "{result:?}"
    );
}

// A peer's host is replaced and another daemon listens on its address. The kept connection is
// broken; if it were kept, the peer would stay unreachable for the minutes that the operating
// system takes to drop the connection.
#[actix::test]
async fn a_broken_connection_is_replaced() {
    let a = start(1, Vec::new()).await;
    let to = a.server.address;
    let client = Client::new(token(TOKEN));
    let digest = Digest {
        from: Some(unauthorized_peer()),
        ..Digest::default()
    };
    assert_eq!(origins(client.exchange(to, &digest).await), Ok(vec![1]));
    a.server.stop().await;
    let _b = start_at(to, 2, Vec::new()).await;
    let mut failures = 0;
    while origins(client.exchange(to, &digest).await) != Ok(vec![2]) {
        failures += 1;
        assert!(failures < 3, "the broken connection is still used");
    }
}

/// Origins of the lanes in an answer; an error if there was none.
fn origins(answer: Result<Answer, PeerError>) -> Result<Vec<u64>, ()> {
    let delta = answer.map_err(|_error| ())?.delta.ok_or(())?;
    let mut origins: Vec<_> = delta.lanes.iter().map(|l| l.origin).collect();
    origins.dedup();
    Ok(origins)
}

// A peer sends an invalid message, through a fault or another version. It must get a numbered code,
// and the next call on the connection must work.
#[actix::test]
async fn an_invalid_message_is_rejected_with_its_code() {
    let a = start(1, Vec::new()).await;
    let client = Client::new(token(TOKEN));
    let to = a.server.address;
    let nameless = client.exchange(to, &Digest::default()).await;
    assert!(
        matches!(nameless, Err(PeerError::Rejected(6004))),
        "{nameless:?}"
    );
    let digest = Digest {
        from: Some(unauthorized_peer()),
        ..Digest::default()
    };
    assert!(client.exchange(to, &digest).await.is_ok());
}
