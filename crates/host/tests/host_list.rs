//! The platform's list of hosts, in which other writers may leave entries.

use bergamotvale_host::platform::decode_list;

const GOOD: &str = r#"{"host":"7","incarnation":1,"address":"10.0.0.1:80",
    "peer_address":"10.0.0.1:81","failure_domain":"2","state":"live"}"#;

fn hosts_beside(odd: &str) -> Vec<String> {
    let body = format!("{{\"hosts\":[{odd},{GOOD}]}}");
    let entries = decode_list(body.as_bytes()).expect("the list is decoded");
    entries.into_iter().map(|entry| entry.host).collect()
}

/// Guards against one odd entry for which hosts stop following the whole list.
#[test]
fn an_entry_that_cannot_be_read_hides_no_other() {
    let nested = "[".repeat(60_000) + &"]".repeat(60_000);
    let large = GOOD.replace("\"incarnation\":1", "\"incarnation\":1e999");
    let missing = GOOD.replace("\"host\":\"7\",", "");
    for odd in [nested, large, missing, "null".to_owned()] {
        assert_eq!(hosts_beside(&odd), ["7"]);
    }
}

#[test]
fn a_port_out_of_range_names_no_member() {
    let odd = GOOD.replace("10.0.0.1:81", "10.0.0.1:99999").replace("\"7\"", "\"8\"");
    let body = format!("{{\"hosts\":[{odd},{GOOD}]}}");
    let entries = decode_list(body.as_bytes()).expect("the list is decoded");
    let members: Vec<_> = entries.iter().filter_map(|entry| entry.member()).collect();
    assert_eq!(members.len(), 1);
}
