//! Tests which VMs are eligible as homes and readers, and when views are replaced.

use std::time::Duration;

use base::Time;
use member::Action;
use member::Config;
use member::Membership;
use member::Profile;
use node::view::eligible;
use node::view::View;
use node::view_schedule::ViewSchedule;

/// The size of the largest fleet in these tests.
const LARGE_FLEET: usize = 1000;

/// Gives the VMs 1 and 2 five times the capacity of the others.
fn capacity(vm: u64) -> u32 {
    if vm <= 2 {
        500
    } else {
        100
    }
}

#[test]
fn eligible_large_vms_only() {
    assert_eq!(eligible(&[1, 2, 3, 4], capacity), [1, 2]);
}

#[test]
fn eligible_all_vms_without_large_ones() {
    assert_eq!(eligible(&[3, 4, 5], capacity), [3, 4, 5]);
    assert_eq!(eligible(&[], capacity), [0; 0]);
}

#[test]
fn take_due_single_change_is_applied_at_once() {
    let now = Time::from_secs(1);
    for fleet in [2, 30, 120, 471, LARGE_FLEET] {
        let mut schedule = ViewSchedule::default();
        assert!(schedule.take_due(1, fleet, now));
        assert!(!schedule.take_due(1, fleet, now));
        assert_eq!(schedule.due(), None);
    }
}

#[test]
fn take_due_many_changes_are_applied_together_and_in_time() {
    for fleet in [2, 30, 120, 471, LARGE_FLEET] {
        let mut schedule = ViewSchedule::default();
        let mut now = Time::from_secs(1);
        let end = now + Duration::from_secs(2);
        let (mut version, mut applied, mut last) = (0, 0, now);
        while now < end {
            now += Duration::from_millis(1);
            version += 1;
            if schedule.take_due(version, fleet, now) {
                applied += 1;
                last = now;
            }
            // A home that failed has to be replaced soon, in any fleet.
            assert!(now < last + Duration::from_millis(250), "{fleet} VMs");
        }
        let views_max = 2000 / fleet.min(200) + 1;
        assert!(applied <= views_max, "{fleet} VMs: {applied} views");
        // The last change is applied too, without a further one.
        let due = schedule.due().unwrap_or(now);
        assert!(schedule.take_due(version, fleet, due) || last == now);
    }
}

/// Returns the memberships of four VMs, two in each of two regions, that know each other.
fn two_regions() -> Vec<Membership> {
    let address = |vm: u16| ([127, 0, 0, 1], 7000 + vm).into();
    let mut vms: Vec<Membership> = (0..4)
        .map(|vm| {
            let profile = Profile {
                vm: u64::from(vm),
                name: vm.to_string(),
                address: address(vm),
                domain: 0,
                region: u64::from(vm / 2),
                capacity: 1000,
            };
            let members = Membership::new(profile, 1, Config::default(), u64::from(vm));
            members.with_seeds(vec![address(0)])
        })
        .collect();
    for step in 0..200 {
        let now = Time::from_millis(1000 + 20 * step);
        for from in 0..vms.len() {
            vms[from].tick(now);
            for action in vms[from].take_actions() {
                if let Action::Send { to, msg } = action {
                    let to = usize::from(to.port() - 7000);
                    vms[to].receive(now, from as u64, address(from as u16), msg);
                }
            }
        }
    }
    vms
}

#[test]
fn registered_counts_the_vms_of_all_regions() {
    let mut vms = two_regions();
    for members in &vms {
        let view = View::new(members);
        assert_eq!((view.vms.len(), view.registered), (2, 4));
    }
    // A VM that is listed and was never heard of counts too.
    vms[0].set_platform_list(vec![0, 1, 2, 3, 9]);
    assert_eq!(View::new(&vms[0]).registered, 5);
}
