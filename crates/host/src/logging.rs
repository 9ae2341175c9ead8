//! Structured logs through log4rs: JSON lines or text on standard error, level changeable.

use crate::error::Result;
use crate::settings::{Format, Log};
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

const APPENDER: &str = "stderr";
const EVENTS: &str = "stdout";
/// Events are JSON lines already.
const EVENT_PATTERN: &str = "{m}{n}";
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)} {l:5} {t} {m}{n}";
/// Libraries that log more than operators need.
const QUIET: [&str; 4] = ["tarpc", "hyper_util", "reqwest", "tokio_postgres"];

/// Changes what is logged while the process runs.
#[derive(Clone)]
pub struct Control {
    handle: std::sync::Arc<log4rs::Handle>,
    format: Format,
}

impl Control {
    /// Starts logging; once in a process.
    pub fn new(log: &Log) -> Result<Control> {
        let handle = log4rs::init_config(config(log.level, log.format))?;
        Ok(Control { handle: std::sync::Arc::new(handle), format: log.format })
    }

    /// Writes lines of `level` and above from now on.
    pub fn set_level(&self, level: LevelFilter) {
        self.handle.set_config(config(level, self.format));
    }
}

fn config(level: LevelFilter, format: Format) -> Config {
    let encoder: Box<dyn Encode> = match format {
        Format::Json => Box::new(JsonEncoder::new()),
        Format::Text => Box::new(PatternEncoder::new(PATTERN)),
    };
    let appender = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let mut builder =
        Config::builder().appender(Appender::builder().build(APPENDER, Box::new(appender)));
    for library in QUIET {
        builder = builder.logger(Logger::builder().build(library, level.min(LevelFilter::Warn)));
    }
    builder
        .build(Root::builder().appender(APPENDER).build(level))
        .expect("the appender that the root names was added above")
}

/// Starts writing the events of a session host, as they are, to standard output.
pub fn start_events() -> Result<()> {
    let encoder = Box::new(PatternEncoder::new(EVENT_PATTERN));
    let appender = ConsoleAppender::builder().target(Target::Stdout).encoder(encoder).build();
    let config = Config::builder()
        .appender(Appender::builder().build(EVENTS, Box::new(appender)))
        .build(Root::builder().appender(EVENTS).build(LevelFilter::Info))
        .expect("the appender that the root names was added above");
    log4rs::init_config(config)?;
    Ok(())
}
