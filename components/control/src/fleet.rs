//! The upstreams that the daemon knows, in an arena.

use std::{collections::BTreeMap, net::SocketAddr};

use cyclamengrade_configuration::{Document, Kind};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of an upstream.
    pub struct UpstreamKey;
}

/// One upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Name of its vm.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre of its vm.
    pub data_centre: String,
    /// Name of the deployment that it serves.
    pub deployment: String,
    /// Kind of the deployment.
    pub kind: Kind,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// A vm as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name of the vm.
    pub name: String,
    /// Where its process listens; of a daemon, the address for other daemons.
    pub address: SocketAddr,
    /// Data centre that it is in.
    pub data_centre: String,
    /// Deployment that it serves; `cyclamengrade` for a daemon.
    pub service: String,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// Upstreams by key and by name.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// All known upstreams.
    pub upstreams: SlotMap<UpstreamKey, Upstream>,
    /// Keys by name of the vm.
    pub by_name: BTreeMap<String, UpstreamKey>,
}

impl Fleet {
    /// Replaces the contents by what the list and the document say; keys of upstreams that stay
    /// are kept.
    pub fn update(&mut self, vms: &[Vm], document: &Document) {
        let mut names = BTreeMap::new();
        for vm in vms {
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
