//! Software versions of streams in virtual time: who knows them after VMs are lost, and what a VM
//! concludes from the registry.

#[allow(dead_code, reason = "streams are not told in rounds")]
#[path = "support/rounds.rs"]
mod rounds;

use std::collections::BTreeSet;
use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{
    Bounds, GatewayState, Route, RouteKind, Routing, ServerEntry, SoftwareVersion, StreamOrigin,
    StreamOrigins, TrafficShare,
};

use self::rounds::{Rounds, index};

const NOW: Timestamp = Duration::from_secs(1000);

const LIFETIME: Duration = Duration::from_secs(20);

/// Streams that begin before VMs are lost.
const STREAMS: u64 = 400;

/// Share of streams that callers must be able to continue, of those whose VM was lost.
const KNOWN_SHARE: f64 = 0.5;

/// Fleet whose VMs tell each other where streams began.
struct StreamFleet {
    rounds: Rounds,
    vms: Vec<StreamOrigins>,
    messages: usize,
}

impl StreamFleet {
    fn new(vms: usize, seed: u64) -> Self {
        Self {
            rounds: Rounds::new(vms, seed),
            vms: vec![StreamOrigins::new(); vms],
            messages: 0,
        }
    }

    fn below(&mut self, limit: usize) -> usize {
        usize::try_from(self.rounds.draw() % limit as u64).expect("an index")
    }

    fn holders(&self, vm: usize, stream: u64) -> Vec<usize> {
        let holders = self.rounds.members[vm].holders(Duration::ZERO, stream);
        holders.into_iter().map(index).collect()
    }

    /// Has a stream begin at a VM, which tells the holders.
    fn begin(&mut self, vm: usize, stream: u64) {
        let origin = StreamOrigin {
            stream,
            version: SoftwareVersion::new("engines", Some("v1")),
            time_left: LIFETIME,
        };
        self.vms[vm].note_own(NOW, origin);
        for holder in self.holders(vm, stream) {
            self.messages += 1;
            if self.rounds.arrives() {
                self.vms[holder].merge(NOW, &[origin]);
            }
        }
    }

    /// Whether a VM knows where a stream began, or one of the holders that live tells it.
    fn knows(&mut self, vm: usize, stream: u64, lost: &BTreeSet<usize>) -> bool {
        if self.vms[vm].version(stream).is_some() {
            return true;
        }
        for holder in self.holders(vm, stream) {
            let is_answered = self.rounds.arrives() && self.rounds.arrives();
            if !lost.contains(&holder) && is_answered && self.vms[holder].version(stream).is_some()
            {
                return true;
            }
        }
        false
    }
}

/// Guards against streams that cannot continue because the VMs that knew their version are lost.
#[test]
fn lost_vms_lose_streams() {
    for (vms, lost_count) in [(9, 6), (9, 8), (300, 180)] {
        let (mut resumed, mut known, mut messages) = (0, 0, 0);
        for seed in 0..20 {
            let mut fleet = StreamFleet::new(vms, seed);
            let mut began_at = Vec::new();
            for stream in 1..=STREAMS {
                let vm = fleet.below(vms);
                fleet.begin(vm, stream);
                began_at.push((vm, stream));
            }
            messages += fleet.messages;
            let mut lost = BTreeSet::new();
            while lost.len() < lost_count {
                lost.insert(fleet.below(vms));
            }
            let left: Vec<usize> = (0..vms).filter(|vm| !lost.contains(vm)).collect();
            for (vm, stream) in began_at {
                if !lost.contains(&vm) {
                    continue;
                }
                resumed += 1;
                let vm = left[fleet.below(left.len())];
                known += u32::from(fleet.knows(vm, stream, &lost));
            }
        }
        let share = f64::from(known) / f64::from(resumed);
        let per_stream = messages as u64 / (20 * STREAMS);
        println!("{vms} VMs, {lost_count} lost: {share:.3} known, {per_stream} messages a stream");
        assert!(share >= KNOWN_SHARE, "{vms} VMs: {share}");
    }
}

fn routing(timeout: Duration) -> (Routing, Route) {
    let route = Route {
        name: "route".into(),
        kind: RouteKind::Stream,
        timeout,
        latency_target: Duration::from_millis(500),
        gap_target: None,
        priority: 0,
        shares: vec![TrafficShare {
            service: "engines".into(),
            weight: 1,
        }],
        max_attempts: 2,
        public: true,
        resumable: true,
    };
    let mut routing = Routing::new(1);
    routing.add_route("host", "/", route.clone());
    (routing, route)
}

fn server(id: &str, software: &str) -> ServerEntry {
    ServerEntry::new(id, "engines", ([127, 0, 0, 1], 80).into()).software(software)
}

/// What VMs conclude from the registry, by the changes that they see.
#[test]
fn sole_version_takes_time() {
    let (routing, route) = routing(LIFETIME / 2);
    let began = SoftwareVersion::new("engines", Some("v1"));
    let v1 = Some(began);
    let v2 = Some(SoftwareVersion::new("engines", Some("v2")));
    for (is_first_start, expected) in [(true, v1), (false, None)] {
        let mut state = GatewayState::new(1, "a".into(), Bounds::default());
        if is_first_start {
            state.mark_first_start();
        }
        state.adopt_routing(routing.clone());
        state.upsert_server(server("s1", "v1"));
        state.mark_registry_complete();
        state.tick(NOW, LIFETIME);
        assert_eq!(state.sole_version(NOW, &route), expected);
        let mut now = NOW + LIFETIME;
        assert_eq!(state.sole_version(now, &route), v1);
        assert!(!state.note_stream_begin(now, "engines", 7, began));
        state.upsert_server(server("s2", "v2"));
        assert_eq!(state.sole_version(now, &route), None);
        // A stream that nobody was told of may still run, and its version is no longer evident.
        let news = state.take_stream_news(now);
        assert_eq!(news.len(), 1);
        assert_eq!((news[0].stream, Some(news[0].version)), (7, v1));
        state.remove_server("s1");
        state.tick(now, LIFETIME);
        now += LIFETIME / 2;
        state.tick(now, LIFETIME);
        assert_eq!(state.sole_version(now, &route), None);
        now += LIFETIME / 2;
        assert_eq!(state.sole_version(now, &route), v2);
        state.remove_server("s2");
        state.upsert_server(server("s3", "v2"));
        assert_eq!(state.sole_version(now, &route), v2);
    }
}

/// Guards against records that outlive their streams, or that end before them.
#[test]
fn records_expire() {
    let mut origins = StreamOrigins::new();
    let version = SoftwareVersion::new("engines", Some("v1"));
    let origin = |stream, time_left| StreamOrigin {
        stream,
        version,
        time_left,
    };
    origins.note_own(NOW, origin(1, LIFETIME));
    origins.merge(NOW, &[origin(2, LIFETIME), origin(1, LIFETIME / 2)]);
    origins.merge(NOW, &[origin(2, LIFETIME * 2)]);
    origins.expire(NOW + LIFETIME / 2);
    assert_eq!(origins.version(1), Some(version));
    origins.expire(NOW + LIFETIME);
    assert_eq!(
        (origins.version(1), origins.version(2)),
        (None, Some(version))
    );
    origins.expire(NOW + LIFETIME * 2);
    assert_eq!(origins.version(2), None);
}
