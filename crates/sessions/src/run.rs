//! Starts and stops a session host.

use crate::event::Event;
use crate::fleet::{follow, member, peer, restore};
use crate::group::{promote, roster};
use crate::settings::Settings;
use crate::state::Host;
use crate::{caller, forward, http, maintenance, stop};
use anyhow::Context;
use bergamotvale_core::proxy::answer::Code;
use bergamotvale_core::proxy::budget::Bound;
use bergamotvale_platform::line;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

/// Delay before the next accept after a failed one, for example when file descriptors run out.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Runs a host until it receives SIGTERM and has stopped.
pub fn run(settings: Settings, path: &Path) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    LocalSet::new().block_on(&runtime, serve(settings, path))
}

/// Returns the number of this incarnation of the host, from the time of day. No two incarnations
/// have the same; a later one has a higher number unless the clock was set back.
fn new_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or_default()
}

async fn serve(settings: Settings, path: &Path) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let callers = bind(settings.listen.callers).await?;
    let readiness = bind(settings.listen.readiness).await?;
    let metrics = bind(settings.listen.metrics).await?;
    let host = Host::new(settings, new_incarnation());
    host.journal.write(&Event::Started {
        host: &host.settings.name,
        domain: &host.settings.domain,
        incarnation: host.incarnation,
    });
    spawn_local(receive_datagrams(host.clone()));
    spawn_local(follow::catalog(host.clone()));
    spawn_local(follow::directory(host.clone()));
    spawn_local(follow::table(host.clone()));
    spawn_local(peer::send_heartbeats(host.clone()));
    spawn_local(promote::watch(host.clone()));
    spawn_local(restore::run(host.clone()));
    spawn_local(roster::run(host.clone()));
    spawn_local(maintenance::run(host.clone()));
    spawn_local(http::serve(host.clone(), readiness));
    spawn_local(http::serve(host.clone(), metrics));
    spawn_local(forward::server::serve(host.clone()));
    spawn_local(accept(host.clone(), callers));
    let joining = host.clone();
    spawn_local(async move { member::join(&joining).await });
    wait_for_stop(&host, path, &mut terminate, &mut reload).await;
    stop::run(&host).await;
    Ok(())
}

async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address}"))
}

async fn receive_datagrams(host: Rc<Host>) {
    if let Err(error) = peer::receive(host).await {
        log::error!("cannot receive datagrams from other hosts: {error}");
    }
}

async fn accept(host: Rc<Host>, listener: TcpListener) {
    // Connections inherit the size of the listener's receive buffer. Without it the kernel keeps up
    // to several megabytes for each of them, which count towards the memory of the host.
    let receive_buffer = host.overload.limits.receive_buffer_bytes;
    if let Err(error) = socket2::SockRef::from(&listener).set_recv_buffer_size(receive_buffer) {
        log::warn!("cannot bound the receive buffers of callers: {error}");
    }
    loop {
        match listener.accept().await {
            Ok((stream, _)) => admit(&host, stream).await,
            Err(error) => {
                log::warn!("cannot accept a caller's connection; retrying: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves a connection if the host may have another one; otherwise refuses it.
async fn admit(host: &Rc<Host>, stream: TcpStream) {
    let Some(place) = host.overload.admit().await else {
        caller::record_bound(host, "", Bound::Connections);
        // The caller may not get the refusal: nothing waits for it to read.
        drop(stream.try_write(&line::refusal(Code::Busy, Bound::Connections.label())));
        return;
    };
    if place.has_replaced() {
        caller::record_bound(host, "", Bound::Connections);
    }
    let place = Rc::new(place);
    let task = spawn_local(caller::serve(host.clone(), stream, place.clone()));
    place.set_task(task.abort_handle());
}

async fn wait_for_stop(host: &Host, path: &Path, terminate: &mut Signal, reload: &mut Signal) {
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = reload.recv() => check_settings_file(host, path),
        }
    }
}

/// Reads the settings file and logs whether it is valid. A change takes effect at the next start
/// only.
fn check_settings_file(host: &Host, path: &Path) {
    let outcome = match Settings::read(path) {
        Ok(settings) if settings == host.settings => "unchanged".to_owned(),
        Ok(_) => "changed; in force after the next start".to_owned(),
        Err(error) => format!("refused, the former settings stay: {error:#}"),
    };
    host.journal.write(&Event::SettingsRead { outcome: &outcome });
}
