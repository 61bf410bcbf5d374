//! Text for operators on the state of a move.

use compact_str::{CompactString, format_compact};

use crate::moves::lifecycle::Record;
use crate::moves::share::Share;
use crate::moves::stages::{LAST_STAGE, Scale, Stage, shares};

/// One sentence: the state of the move, and the reason if it ended.
pub fn text(record: &Record) -> CompactString {
    let terms = record.terms();
    let head = format_compact!("{}: {} to {}", terms.service, terms.from, terms.to);
    match record {
        Record::Asked(_) => format_compact!("{head}: asked, waits for its first stage"),
        Record::Staged(m) => {
            let stage = m.state.stage;
            format_compact!(
                "{head}: stage {} of {}, {}",
                stage + 1,
                LAST_STAGE + 1,
                parts(stage, terms.scale)
            )
        }
        Record::Watching(_) => {
            format_compact!("{head}: full share, watched with the old version warm")
        }
        Record::Done(m) if m.state.at > terms.finish => {
            let late = (m.state.at - terms.finish) / 1000;
            format_compact!("{head}: done, {late} s late")
        }
        Record::Done(_) => format_compact!("{head}: done in time"),
        Record::RolledBack(m) => format_compact!("{head}: taken back: {}", m.state.reason),
        Record::Cancelled(m) => format_compact!("{head}: cancelled: {}", m.state.reason),
    }
}

fn parts(stage: Stage, scale: Scale) -> CompactString {
    let shares = shares(stage, scale);
    format_compact!(
        "{} % of repeatable and {} % of other requests",
        percent(shares.idempotent),
        percent(shares.non_idempotent)
    )
}

/// A share in percent with one decimal.
pub fn percent(share: Share) -> CompactString {
    format_compact!("{:.1}", f64::from(share) / 10_000.0)
}
