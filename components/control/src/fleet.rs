//! The vms that the platform lists, and the upstreams among them, kept under stable keys.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use cyclamengrade_configuration::{Document, Kind};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of an upstream; stays the same for as long as the platform lists its vm.
    pub struct UpstreamKey;
}

/// A back end that serves one deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Name of its vm.
    pub name: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    pub data_centre: String,
    /// Name of the deployment that it serves.
    pub deployment: String,
    pub kind: Kind,
    /// Whether the platform is about to remove its vm, so that it gets no new work.
    pub leaving: bool,
}

/// A vm in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    pub name: String,
    /// Address on which its process listens; for a daemon, the address for other daemons.
    pub address: SocketAddr,
    pub data_centre: String,
    /// Name of the deployment that it serves; `cyclamengrade` for a daemon.
    pub service: String,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

impl Vm {
    /// Whether the entry can be that of a vm. Other writers may leave entries in the list.
    pub fn is_plausible(&self) -> bool {
        !self.name.is_empty() && !self.service.is_empty() && is_vm_address(self.address)
    }
}

/// Whether connections to an address reach one other vm. Those to the unspecified address reach the vm
/// that opens them.
pub fn is_vm_address(address: SocketAddr) -> bool {
    let is_broadcast = matches!(address.ip(), IpAddr::V4(ip) if ip.is_broadcast());
    let is_unicast = !address.ip().is_unspecified() && !address.ip().is_multicast();
    address.port() != 0 && is_unicast && !is_broadcast
}

/// The known upstreams, by key and by name.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub upstreams: SlotMap<UpstreamKey, Upstream>,
    /// Key of each upstream by the name of its vm.
    pub by_name: BTreeMap<String, UpstreamKey>,
}

impl Fleet {
    /// Replaces the upstreams by the listed vms that serve a deployment of the document. An
    /// upstream that was known before keeps its key.
    pub fn update(&mut self, vms: &[Vm], document: &Document) {
        let mut names = BTreeMap::new();
        for vm in vms {
            if names.contains_key(&vm.name) {
                // A name has one key. The first vm with it counts.
                continue;
            }
            let Some(deployment) = document.deployments.get(&vm.service) else { continue };
            let upstream = Upstream {
                name: vm.name.clone(),
                address: vm.address,
                data_centre: vm.data_centre.clone(),
                deployment: vm.service.clone(),
                kind: deployment.kind,
                leaving: vm.leaving,
            };
            let key = match self.by_name.remove(&vm.name) {
                Some(key) if self.upstreams.contains_key(key) => {
                    self.upstreams[key] = upstream;
                    key
                }
                _ => self.upstreams.insert(upstream),
            };
            names.insert(vm.name.clone(), key);
        }
        for key in std::mem::take(&mut self.by_name).into_values() {
            self.upstreams.remove(key);
        }
        self.by_name = names;
    }
}
