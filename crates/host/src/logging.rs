//! Structured logging through log4rs.
//!
//! A host writes JSON lines or text to standard error, at a level that can change while it runs. A
//! session host writes its events to standard output.

use crate::error::Result;
use crate::settings::{Format, Log};
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

const LOG_APPENDER: &str = "stderr";
const EVENT_APPENDER: &str = "stdout";
/// Events are formatted as JSON lines by their writer.
const EVENT_PATTERN: &str = "{m}{n}";
const LOG_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)} {l:5} {t} {m}{n}";
/// Libraries that are logged at `warn` at most, since they log more than operators need.
const QUIET_LIBRARIES: [&str; 4] = ["tarpc", "hyper_util", "reqwest", "tokio_postgres"];

/// Changes the log level while the process runs.
#[derive(Clone)]
pub struct Control {
    handle: std::sync::Arc<log4rs::Handle>,
    format: Format,
}

impl Control {
    /// Starts logging. Fails if the process has a logger already.
    pub fn new(log: &Log) -> Result<Control> {
        let handle = log4rs::init_config(log_config(log.level, log.format))?;
        Ok(Control { handle: std::sync::Arc::new(handle), format: log.format })
    }

    /// From now on logs records of `level` or more severe.
    pub fn set_level(&self, level: LevelFilter) {
        self.handle.set_config(log_config(level, self.format));
    }
}

fn log_config(level: LevelFilter, format: Format) -> Config {
    let encoder: Box<dyn Encode> = match format {
        Format::Json => Box::new(JsonEncoder::new()),
        Format::Text => Box::new(PatternEncoder::new(LOG_PATTERN)),
    };
    let appender = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let mut builder =
        Config::builder().appender(Appender::builder().build(LOG_APPENDER, Box::new(appender)));
    for library in QUIET_LIBRARIES {
        builder = builder.logger(Logger::builder().build(library, level.min(LevelFilter::Warn)));
    }
    builder
        .build(Root::builder().appender(LOG_APPENDER).build(level))
        .expect("the appender that the root names was added above")
}

/// Starts writing the events of a session host, unchanged, to standard output.
pub fn start_events() -> Result<()> {
    let encoder = Box::new(PatternEncoder::new(EVENT_PATTERN));
    let appender = ConsoleAppender::builder().target(Target::Stdout).encoder(encoder).build();
    let config = Config::builder()
        .appender(Appender::builder().build(EVENT_APPENDER, Box::new(appender)))
        .build(Root::builder().appender(EVENT_APPENDER).build(LevelFilter::Info))
        .expect("the appender that the root names was added above");
    log4rs::init_config(config)?;
    Ok(())
}
