//! Settings of a session host: valid, invalid, missing and unknown fields.

use bergamotvale_sessions::settings::Settings;
use std::path::PathBuf;
use std::time::Duration;

const GOOD: &str = r#"
name: "front-1"
domain: "shed-a"
listen:
  callers: "10.1.0.26:8465"
  readiness: "10.1.0.26:8460"
  peers: "10.1.0.26:7560"
  metrics: "10.1.0.26:9464"
store: "10.200.1.7:8466"
promotion: "10.200.0.2:8466"
times:
  drain: 7000
  grace: 6
rates:
  window: 5
  overage: 0.1
  slack: 20
descriptors: 6300
"#;

/// Reads `text` as a settings file; an error is returned as it is printed.
fn read(name: &str, text: &str) -> Result<Settings, String> {
    let file = format!("bergamotvale-settings-{}-{name}.yaml", std::process::id());
    let path: PathBuf = std::env::temp_dir().join(file);
    std::fs::write(&path, text).expect("the file is written");
    let settings = Settings::read(&path).map_err(|error| format!("{error:#}"));
    std::fs::remove_file(&path).expect("the file is removed");
    settings
}

#[test]
fn good_settings_hold() {
    let settings = read("good", GOOD).expect("the settings are valid");
    assert_eq!(settings.times.grace, Duration::from_secs(6));
    assert_eq!(settings.times.drain, Duration::from_millis(7000));
    assert_eq!(settings.rates.slack, 20);
}

/// Guards against settings files of earlier deployments that stop being valid, and against fields
/// whose units are misread.
#[test]
fn fields_that_some_deployments_lack_are_optional() {
    let without = read("without", GOOD).expect("the settings are valid");
    assert_eq!((without.memory, without.link), (None, None));
    assert!(without.cold.is_none() && without.regions.is_empty() && without.region.is_empty());
    assert_eq!(without.times.evacuation, None);
    let text = GOOD.replace("  grace: 6\n", "  grace: 6\n  evacuation: 5000\n")
        + "region: \"mu-north\"\nregions: {\"shed-a\": \"mu-north\"}\n"
        + "cold:\n  overage: 1.5\n  slack: 5\nmemory: 512\nlink: 200.0\n";

    let with = read("with", &text).expect("the settings are valid");

    assert_eq!((with.memory, with.link), (Some(512), Some(200.0)));
    assert_eq!(with.regions.get("shed-a").map(String::as_str), Some("mu-north"));
    assert_eq!(with.times.evacuation, Some(Duration::from_secs(5)));
    assert_eq!(with.cold.map(|cold| (cold.overage, cold.slack)), Some((1.5, 5)));
}

/// Guards against learned limits that act on deployments whose settings do not ask for them.
#[test]
fn learned_limits_are_off_unless_switched_on() {
    assert!(!read("not-learned", GOOD).expect("the settings are valid").learned_limits);
    let text = GOOD.to_owned() + "learned_limits: true\n";
    assert!(read("learned", &text).expect("the settings are valid").learned_limits);
}

#[test]
fn a_fault_names_its_field_and_line() {
    let cases = [
        ("unknown", GOOD.replace("descriptors", "descriptor"), "descriptor"),
        ("missing", GOOD.replace("store: \"10.200.1.7:8466\"\n", ""), "store"),
        ("address", GOOD.replace("10.1.0.26:8465", "10.1.0.26"), "listen.callers"),
        ("flag", GOOD.to_owned() + "learned_limits: 2\n", "learned_limits"),
        ("unit", GOOD.replace("grace: 6", "grace: \"6 s\""), "times.grace"),
        ("negative", GOOD.replace("slack: 20", "slack: -1"), "rates.slack"),
        ("not_yaml", "{".to_owned(), "line"),
        ("empty", String::new(), "is not a valid settings file"),
    ];
    for (name, text, found) in cases {
        let error = read(name, &text).expect_err(name);
        assert!(error.contains(found), "{name}: {error}");
        assert!(error.contains(".yaml"), "{name}: {error}");
    }
}

#[test]
fn a_file_that_is_not_there_is_named() {
    let error = Settings::read(&PathBuf::from("/nowhere/local.yaml")).expect_err("no file");
    assert!(format!("{error:#}").contains("/nowhere/local.yaml"));
}
