//! Accepts the connections of a target and goes through their start.

use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicI32, Ordering};
use std::time::Duration;

use pgwire::messages::response::SslResponse;
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};
use pgwire::messages::{
    PgWireBackendMessage as Backend, PgWireFrontendMessage as Frontend,
    SslNegotiationMetaMessage as Negotiation,
};

use super::control::Control;
use super::session::Session;
use super::sqlstate::{self, Error};
use super::target::{Handle, Target};
use super::wire::Wire;
use crate::port::Port;

/// How often a stopped listener looks whether it may go on.
const LOOK_PERIOD: Duration = Duration::from_millis(2);
/// Stack of a connection's thread.
const STACK: usize = 1 << 20;
/// How long the start of a connection may take.
const START_TIMEOUT: Duration = Duration::from_secs(10);

static NEXT_PID: AtomicI32 = AtomicI32::new(1);

/// Accepts connections of a target until its group ends.
pub(crate) fn run(target: &Arc<Target>, port: &Port) {
    while !target.group.ended() {
        if !target.switches.answers() {
            std::thread::sleep(LOOK_PERIOD);
            continue;
        }
        match port.accept() {
            Some(stream) => spawn(target.clone(), stream),
            None => std::thread::sleep(LOOK_PERIOD),
        }
    }
}

fn spawn(target: Arc<Target>, stream: TcpStream) {
    let name = format!("target-{}", target.number);
    let serve = move || {
        if let Err(error) = serve(&target, stream) {
            log::debug!("target {}: connection: {error}", target.number);
        }
    };
    let thread = std::thread::Builder::new().name(name).stack_size(STACK).spawn(serve);
    if let Err(error) = thread {
        log::error!("no thread for a connection: {error}");
    }
}

fn serve(target: &Arc<Target>, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut wire = Wire::new(stream);
    if !negotiate(target, &mut wire)? {
        return Ok(());
    }
    let control = Arc::new(Control::default());
    let pid = NEXT_PID.fetch_add(1, Ordering::Relaxed);
    let secret = pid.wrapping_mul(0x9E37_79B1_u32 as i32);
    std::thread::sleep(target.group.connect_delay);
    pass(target)?;
    let handle = Handle::new(control.clone(), secret, wire.stream()?);
    if !target.register(pid, handle) {
        let error = Error::new(sqlstate::TOO_MANY_CONNECTIONS, "too many connections");
        wire.error(&error, "FATAL");
        return wire.flush();
    }
    greet(&mut wire, pid, secret);
    let result = Session::new(target.clone(), control, wire).serve();
    target.unregister(pid);
    result
}

/// Waits while the target does not answer.
fn pass(target: &Target) -> io::Result<()> {
    while !target.switches.answers() {
        if !target.switches.running() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        std::thread::sleep(LOOK_PERIOD);
    }
    Ok(())
}

/// Goes through the start of a connection; false when it was only a cancel request.
fn negotiate(target: &Target, wire: &mut Wire) -> io::Result<bool> {
    wire.expect(true, true);
    while let Some(message) = wire.message(START_TIMEOUT)? {
        match message {
            Frontend::SslNegotiation(Negotiation::None) => wire.expect(false, true),
            Frontend::SslNegotiation(_) => {
                pass(target)?;
                wire.send(Backend::SslResponse(SslResponse::Refuse));
                wire.flush()?;
            }
            Frontend::CancelRequest(request) => {
                pass(target)?;
                cancel(target, request.pid, &request.secret_key);
                return Ok(false);
            }
            Frontend::Startup(_) => {
                wire.expect(false, false);
                return Ok(true);
            }
            _ => return Ok(false),
        }
    }
    Ok(false)
}

fn cancel(target: &Target, pid: i32, secret: &SecretKey) {
    let secret = match secret {
        SecretKey::I32(secret) => Some(*secret),
        SecretKey::Bytes(bytes) => bytes.as_ref().try_into().ok().map(i32::from_be_bytes),
    };
    if let Some(secret) = secret {
        target.cancel(pid, secret);
    }
}

fn greet(wire: &mut Wire, pid: i32, secret: i32) {
    const PARAMETERS: [(&str, &str); 4] = [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("standard_conforming_strings", "on"),
    ];
    wire.send(Backend::Authentication(Authentication::Ok));
    for (name, value) in PARAMETERS {
        let status = ParameterStatus::new(name.to_owned(), value.to_owned());
        wire.send(Backend::ParameterStatus(status));
    }
    wire.send(Backend::BackendKeyData(BackendKeyData::new(pid, SecretKey::I32(secret))));
}
