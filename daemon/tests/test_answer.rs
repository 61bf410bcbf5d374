//! Answers that receive generated events of several attempts.

use bytes::Bytes;
use poplarvaled::{Answer, PieceError};
use proptest::prelude::*;

fn piece(at: u32) -> Bytes {
    Bytes::from(format!("word {at}"))
}

proptest! {
    #![proptest_config(testutils::fixed(256))]

    /// Events of a stream arrive late, twice, or from an abandoned attempt. Without a check the
    /// caller would read words twice, or words of another answer.
    #[test]
    fn every_piece_is_kept_once_and_in_order(
        events in prop::collection::vec((0u128..4, 0u32..12), 0..120),
        turns in prop::collection::vec(0usize..120, 0..4),
    ) {
        let answer = Answer::new(1, "desk".into(), 1 << 20);
        let mut current = 0;
        answer.set_attempt(current);
        for (n, (attempt, at)) in events.into_iter().enumerate() {
            if turns.contains(&n) {
                current += 1;
                answer.set_attempt(current);
            }
            let count = answer.count();
            let pushed = answer.push(attempt, at, piece(at));
            let expected = if attempt != current {
                Err(PieceError::Stale)
            } else if at > count {
                Err(PieceError::Gap)
            } else {
                Ok(count.max(at + 1))
            };
            prop_assert_eq!(pushed, expected);
        }
        let pieces = answer.view(0).pieces;
        let expected: Vec<Bytes> = (0..answer.count()).map(piece).collect();
        prop_assert_eq!(pieces, expected);
    }
}

#[test]
fn an_answer_over_its_limit_is_rejected() {
    let answer = Answer::new(1, "desk".into(), 10);
    answer.set_attempt(7);
    assert_eq!(answer.push(7, 0, Bytes::from_static(b"12345678")), Ok(1));
    assert_eq!(
        answer.push(7, 1, Bytes::from_static(b"901")),
        Err(PieceError::Large)
    );
}
