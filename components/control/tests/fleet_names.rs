//! Tests of the upstreams among the vms that the platform lists.

use std::net::SocketAddr;

use cyclamengrade_configuration::{Deployment, Document};
use cyclamengrade_control::fleet::{Fleet, Vm};
use googletest::prelude::*;

fn vm(name: &str, port: u16) -> Vm {
    Vm {
        name: name.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        data_centre: "a".into(),
        service: "lm".into(),
        leaving: false,
    }
}

/// Guards against upstreams that stay in the fleet for good, one more with each list, because two vms in
/// the list have the same name.
#[gtest]
fn repeated_name() {
    let mut document = Document::default();
    document.deployments.insert("lm".into(), Deployment::model("telaio", "1"));
    let mut fleet = Fleet::default();
    for _ in 0..5 {
        fleet.update(&[vm("u-1", 1), vm("u-2", 2), vm("u-1", 3)], &document);
        expect_that!(fleet.upstreams.len(), eq(2));
        let known = fleet.by_name.values().all(|key| fleet.upstreams.contains_key(*key));
        expect_that!(known, eq(true));
    }
    let addresses: Vec<u16> = fleet.upstreams.values().map(|found| found.address.port()).collect();
    expect_that!(addresses, unordered_elements_are![eq(&1), eq(&2)]);
    fleet.update(&[], &document);
    expect_that!(fleet.upstreams.len(), eq(0));
}

/// Guards against connections to entries that cannot be those of vms.
#[gtest]
fn implausible_entries() {
    expect_that!(vm("u-1", 1).is_plausible(), eq(true));
    expect_that!(vm("u-1", 0).is_plausible(), eq(false));
    expect_that!(vm("", 1).is_plausible(), eq(false));
    expect_that!(Vm { service: String::new(), ..vm("u-1", 1) }.is_plausible(), eq(false));
    for host in [[0, 0, 0, 0], [224, 0, 0, 1], [255, 255, 255, 255]] {
        let address = SocketAddr::from((host, 80));
        expect_that!(Vm { address, ..vm("u-1", 1) }.is_plausible(), eq(false), "{address}");
    }
}
