//! Clock jumps: monotonic time jumps forward in a process that was paused, and the wall clock,
//! which only numbers a host's incarnations, may be set back between two incarnations.

mod fleet;

use bergamotvale_core::authority::{Holder, VALIDITY};
use bergamotvale_core::distribute::Row;
use bergamotvale_core::id::Time;
use bergamotvale_core::maintenance::due_task;
use bergamotvale_core::member::{self, View};
use bergamotvale_core::rate::Meter;
use bergamotvale_core::rate::meter::{Decision, micro};
use bergamotvale_core::slot::{self, Ledger};
use fleet::member;
use std::path::{Path, PathBuf};
use std::time::Duration;

const START: Time = Duration::from_secs(100);
const JUMP: Duration = Duration::from_secs(3600);
const ONE_MILLISECOND: Duration = Duration::from_millis(1);
const BURST: u32 = 20;

fn row() -> Row {
    // A single host would itself be a majority of the voters that confirm its authority.
    let members = (1..=3).map(|host| (host, member(host, 5))).collect();
    Row { epoch: 1, members, ..Row::default() }
}

/// The authority of `incarnation` of host 1, which reads a row with incarnation 5 at `START`.
fn holder(incarnation: u64) -> Holder {
    let row = row();
    let mut holder = Holder::new(1, incarnation);
    holder.adopt(row.epoch, &row.members, member::voters(&row.members));
    holder.record_read(START, row.epoch);
    holder
}

#[test]
fn a_leap_ends_authority_and_what_rests_on_it() {
    let holder = holder(5);
    let mut ledger = Ledger::new(5, slot::growth_delay(VALIDITY));
    ledger.set_share(Time::ZERO, 1, 10);
    ledger.extend_authority(START + VALIDITY);

    let before = (holder.is_held(START + VALIDITY), ledger.usable(START + VALIDITY - ONE_MILLISECOND));
    let after = (holder.is_held(START + JUMP), ledger.usable(START + JUMP));

    assert_eq!((before, after), ((true, 10), (false, 0)));
}

#[test]
fn a_leap_yields_no_more_than_the_burst() {
    let mut meter = Meter::new(VALIDITY, false);
    meter.set_share(7, micro(100), micro(BURST), START);
    meter.tick(START + VALIDITY);

    let now = START + JUMP;
    let admitted = (0..BURST * 2).filter(|_| meter.request(7, now) == Decision::Admit).count();

    assert_eq!(admitted, BURST as usize);
}

#[test]
fn a_run_that_a_set_back_wall_clock_numbers_lower_takes_nothing_over() {
    let (mut view, row, older) = (View::new(1), row(), member(1, 4));
    view.record_members(START, &row.members);

    let holder = holder(older.incarnation);

    assert!(!holder.is_held(START));
    assert_eq!(due_task(START, &older, &holder, &view, &row), None);
}

fn sources(directory: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(directory).expect("a directory of sources");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    paths.flat_map(|path| if path.is_dir() { sources(&path) } else { vec![path] }).collect()
}

/// Returns the files below `directory` that contain the name of one of `clocks`.
fn readers(directory: &str, clocks: &[&str]) -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join(directory);
    let mut found = Vec::new();
    for path in sources(&root) {
        let text = std::fs::read_to_string(&path).expect("a text");
        if clocks.iter().any(|clock| text.contains(clock)) {
            let relative = path.strip_prefix(&root).expect("below the root");
            found.push(relative.to_string_lossy().into_owned());
        }
    }
    found.sort();
    found
}

#[test]
fn the_core_reads_no_clock_and_the_host_reads_the_wall_clock_in_known_places() {
    assert_eq!(readers("src", &["SystemTime", "Instant"]), [""; 0]);
    let known = ["admin/audit.rs", "admin/plan.rs", "exec/outcome.rs", "shared.rs"];
    assert_eq!(readers("../host/src", &["SystemTime"]), known);
}
