//! Writes logs to standard error with logforth. Each module starts its lines with its name, so that
//! the lines of one module can be filtered.

use logforth::append;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::TextLayout;

/// Starts logging at a level and above. The lines of libraries are left out, because at the finer
/// levels they would far outnumber those of the daemon.
pub fn start(level: &str) {
    let spec = format!("off,poplarvaled={level}");
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            let layout = TextLayout::default().no_color();
            dispatch
                .filter(RustLogFilterBuilder::from_spec(spec).build())
                .append(append::Stderr::default().with_layout(layout))
        })
        .apply();
}
