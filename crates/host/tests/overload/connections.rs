//! Floods of connections at the callers' listener.

use crate::crowd::{FLOOD, Site, connect, open, together};
use crate::fixture::{STRICT_DB, eventually};
use bergamotvale_platform::counterpart::caller;
use bergamotvale_platform::line::End;

/// Guards against connections without a session that take all descriptors. They stay open while the
/// ordinary request is answered.
#[test]
fn connections_that_open_no_session() {
    let site = Site::start();
    let address = site.host().callers;
    let streams = site.withstands(|| (0..FLOOD).map(|_| connect(address)).collect::<Vec<_>>());
    drop(streams);
}

/// Guards against sessions that take all descriptors, and against limits that end the sessions
/// opened before. The flood ends before the ordinary request.
#[test]
fn more_sessions_than_descriptors() {
    let site = Site::start();
    let address = site.host().callers;
    let mut earlier = site.fleet.open_session(0, STRICT_DB);
    site.withstands(|| drop((0..FLOOD).map(|_| open(address)).collect::<Vec<_>>()));
    eventually("the earlier session is served", || {
        earlier.run(&caller::read("bolt")).end == End::Done
    });
}

/// Guards against limits that the sessions of a fleet meet when all of them reconnect to one host
/// of the smallest size that is deployed.
#[test]
fn thousands_of_sessions_that_reconnect_at_once() {
    const SMALLEST_MEMORY_MB: u64 = 160;
    const SMALLEST_DESCRIPTORS: usize = 4300;
    const THREADS: usize = 20;
    const SESSIONS_PER_THREAD: usize = 200;
    let site = Site::start_with(SMALLEST_MEMORY_MB, SMALLEST_DESCRIPTORS);
    let address = site.host().callers;
    let sessions = site.withstands(|| {
        let open_some = |_| (0..SESSIONS_PER_THREAD).map(|_| open(address)).collect::<Vec<_>>();
        together(THREADS, open_some)
    });
    let opened = sessions.iter().flatten().flatten().count();
    assert_eq!(opened, THREADS * SESSIONS_PER_THREAD);
}
