//! The catalogue in docs/events.md lists the events of the code with their numbers and levels.

use strum::IntoEnumIterator;
use verbenahinge::event_log::LogEvent;

#[test]
fn catalogue_matches_code() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/events.md");
    let catalogue = std::fs::read_to_string(path).expect("the catalogue");
    let mut documented = Vec::new();
    for line in catalogue.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [_, number, name, level, ..] = cells.as_slice() else {
            continue;
        };
        if let Ok(number) = number.parse::<u16>() {
            documented.push((number, (*name).to_owned(), (*level).to_owned()));
        }
    }
    let mut defined = Vec::new();
    for event in LogEvent::iter() {
        let name: &'static str = event.into();
        let level = event.level().to_string().to_lowercase();
        defined.push((event.number(), name.to_owned(), level));
    }
    assert_eq!(documented, defined);
}
