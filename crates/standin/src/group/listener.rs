//! Accepts the connections of a target and performs their startup handshake.

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
use super::target::{ConnectionHandle, Target};
use super::wire::Wire;
use crate::port::Port;

/// Interval at which a closed port, or a fault that blocks the target, is checked again.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(2);
const CONNECTION_STACK_BYTES: usize = 1 << 20;
/// Longest wait for the next message of the startup handshake.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

static NEXT_PID: AtomicI32 = AtomicI32::new(1);

/// Accepts connections of a target until its group ends.
pub(crate) fn run(target: &Arc<Target>, port: &Port) {
    while !target.group.has_ended() {
        if !target.faults.serves_callers() {
            std::thread::sleep(FAULT_POLL_INTERVAL);
            continue;
        }
        match port.accept() {
            Some(stream) => spawn_connection(target.clone(), stream),
            None => std::thread::sleep(FAULT_POLL_INTERVAL),
        }
    }
}

fn spawn_connection(target: Arc<Target>, stream: TcpStream) {
    let name = format!("target-{}", target.number);
    let serve = move || {
        if let Err(error) = serve(&target, stream) {
            log::debug!("target {}: connection failed: {error}", target.number);
        }
    };
    let thread =
        std::thread::Builder::new().name(name).stack_size(CONNECTION_STACK_BYTES).spawn(serve);
    if let Err(error) = thread {
        log::error!("failed to spawn a thread for a connection, which is dropped: {error}");
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
    wait_until_available(target)?;
    let handle = ConnectionHandle::new(control.clone(), secret, wire.clone_stream()?);
    if !target.register(pid, handle) {
        let error = Error::new(sqlstate::TOO_MANY_CONNECTIONS, "too many connections");
        wire.send_error(&error, "FATAL");
        return wire.flush();
    }
    send_startup_response(&mut wire, pid, secret);
    let result = Session::new(target.clone(), control, wire).serve();
    target.unregister(pid);
    result
}

/// Waits while a fault keeps the target from serving callers; fails if the target is down.
fn wait_until_available(target: &Target) -> io::Result<()> {
    while !target.faults.serves_callers() {
        if !target.faults.is_running() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        std::thread::sleep(FAULT_POLL_INTERVAL);
    }
    Ok(())
}

/// Performs the startup handshake; false when there is no session to serve, as after a cancel
/// request.
fn negotiate(target: &Target, wire: &mut Wire) -> io::Result<bool> {
    wire.expect_startup(true, true);
    while let Some(message) = wire.read_message(STARTUP_TIMEOUT)? {
        match message {
            Frontend::SslNegotiation(Negotiation::None) => wire.expect_startup(false, true),
            Frontend::SslNegotiation(_) => {
                wait_until_available(target)?;
                wire.send(Backend::SslResponse(SslResponse::Refuse));
                wire.flush()?;
            }
            Frontend::CancelRequest(request) => {
                wait_until_available(target)?;
                cancel_statement(target, request.pid, &request.secret_key);
                return Ok(false);
            }
            Frontend::Startup(_) => {
                wire.expect_startup(false, false);
                return Ok(true);
            }
            _ => return Ok(false),
        }
    }
    Ok(false)
}

fn cancel_statement(target: &Target, pid: i32, secret: &SecretKey) {
    let secret = match secret {
        SecretKey::I32(secret) => Some(*secret),
        SecretKey::Bytes(bytes) => bytes.as_ref().try_into().ok().map(i32::from_be_bytes),
    };
    if let Some(secret) = secret {
        target.cancel(pid, secret);
    }
}

fn send_startup_response(wire: &mut Wire, pid: i32, secret: i32) {
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
