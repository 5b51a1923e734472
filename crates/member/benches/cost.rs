//! CPU time and allocations of the membership protocol for fleets of several sizes.

use std::net::SocketAddr;

use base::Time;
use divan::AllocProfiler;
use divan::Bencher;
use member::Config;
use member::Health;
use member::Membership;
use member::Msg;
use member::Profile;

#[global_allocator]
static ALLOC: AllocProfiler = AllocProfiler::system();

fn main() {
    divan::main();
}

/// Numbers of VMs in the fleet, this VM included.
const FLEETS: [usize; 4] = [13, 100, 300, 1000];

fn profile(n: usize) -> Profile {
    Profile {
        vm: base::id::vm(&n.to_string()),
        name: format!("vm-{n}"),
        address: SocketAddr::from(([127, 0, (n >> 8) as u8, n as u8], 7000)),
        domain: 1,
        capacity: 1000,
        region: 1,
    }
}

fn members(fleet: usize) -> Membership {
    let mut members = Membership::new(profile(0), 1, Config::default(), 1);
    for n in 1..fleet {
        let profile = profile(n);
        let from = profile.vm;
        let address = profile.address;
        let update = member::update::Update {
            profile,
            incarnation: 1,
            health: Health::Alive,
        };
        let msg = Msg::MemberList { news: vec![update] };
        members.receive(Time::ZERO, from, address, msg);
    }
    members.take_actions();
    members
}

/// One probe period: a tick that sends a ping, and the ack to the ping.
#[divan::bench(args = FLEETS)]
fn period_by_fleet(bencher: Bencher<'_, '_>, fleet: usize) {
    let mut members = members(fleet);
    let mut now = Time::from_secs(1);
    bencher.bench_local(|| {
        now += Config::default().probe_period;
        members.tick(now);
        for action in members.take_actions() {
            if let member::Action::Send {
                to,
                msg:
                    Msg::Ping {
                        to: about,
                        probe,
                        marks: revisions,
                        digest,
                        ..
                    },
            } = action
            {
                let ack = Msg::Ack {
                    about,
                    probe,
                    marks: revisions,
                    digest,
                    news: Vec::new(),
                };
                members.receive(now, about, to, ack);
            }
        }
    });
}

#[divan::bench(args = FLEETS)]
fn whole_membership(fleet: usize) -> Membership {
    members(fleet)
}
