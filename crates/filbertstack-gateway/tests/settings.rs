//! Tests of the settings: empty values, which templates write, and the report of faults.

use filbertstack_core::ini::Document;
use filbertstack_gateway::settings::Bounds;
use filbertstack_gateway::settings::Settings;

fn parse(text: &str) -> Result<Settings, String> {
    let document = Document::parse("node.ini", text).map_err(|e| e.to_string())?;
    Settings::parse(document).map_err(|e| e.to_string())
}

#[test]
fn empty_values_count_as_absent() {
    let settings = parse(
        "[node]\nname = a\nzone = z\nlink = 10.1.0.4:7700\nseeds = 10.1.0.4:8000,10.2.0.4:8000\n\
         first-start = true\ndata = \n[listen]\nfront = 10.1.0.4:8005\nready = \n\
         [target]\nengine = \nservice = \n[bounds]\ngrace-s = \nrollout-ms = 9700\n",
    );
    let settings = settings.expect("it reads");
    assert_eq!(settings.node.data, None);
    assert_eq!(settings.listen.ready, None);
    assert_eq!(settings.target.engine, None);
    assert_eq!(settings.bounds.grace, Bounds::default().grace);
    assert_eq!(settings.bounds.rollout.as_millis(), 9_700);
    let ports: Vec<u16> = settings
        .node
        .seeds
        .iter()
        .map(std::net::SocketAddr::port)
        .collect();
    assert_eq!(
        ports,
        [7_700, 7_700],
        "seeds are reached at the port of links"
    );
}

#[test]
fn every_fault_is_reported_with_its_line() {
    let error = parse("[node]\nname = a\nlink = nowhere\nfirst-start = maybe\nother = 1\n");
    insta::assert_snapshot!(error.expect_err("faulty"), @r"
    node.ini:1: [node] lacks the key 'zone': add it
    node.ini:3: link: 'nowhere' is not an address: write IP:port, such as 10.0.0.1:9080
    node.ini:4: first-start: provided string was not `true` or `false`; correct the value or remove the line
    node.ini:5: unknown key 'other' in [node]: remove it or correct its spelling
    ");
}

/// Guards against zones without a region, whose targets then serve no request that is bound to a region, and
/// against an unknown feature that keeps a process from starting.
#[test]
fn regions_and_features_are_read() {
    let settings = parse(
        "[node]\nname = a\nzone = z\nlink = 10.1.0.4:7700\n[bounds]\ncold-factor = 1.5\ncold-allowance =\n\
         [regions]\nz = north\ny-1 = south\n[features]\nenabled = health, other,\n",
    );
    let settings = settings.expect("it reads");
    let region = |zone: &str| settings.regions.get(zone).map(ToString::to_string);
    assert_eq!(region("z").as_deref(), Some("north"));
    assert_eq!(region("y-1").as_deref(), Some("south"));
    assert_eq!(region("x"), None);
    assert!(settings.features.has("health") && settings.features.has("other"));
    assert!(!settings.features.has("pool") && !settings.features.has(""));
    assert!((settings.bounds.cold_factor - 1.5).abs() < f64::EPSILON);
    let default = Bounds::default().cold_allowance;
    assert!((settings.bounds.cold_allowance - default).abs() < f64::EPSILON);
}
