//! Polls the platform's list of vms.

use std::{sync::Arc, time::Duration};

use cyclamengrade_control::fleet::Vm;
use cyclamengrade_platform as platform;
use tokio::sync::watch;

use crate::node::Node;

/// Reads the list periodically and publishes it when it has changed. The last list stays in use
/// while reads fail.
pub async fn poll(node: Arc<Node>, fleet: watch::Sender<Arc<Vec<Vm>>>) {
    let period = Duration::from_millis(node.settings.timers.vms_poll_ms);
    let mut interval = tokio::time::interval(period);
    let mut entity_tag = None;
    loop {
        interval.tick().await;
        match node.vms.list(entity_tag.clone()).await {
            Ok(Some((new_entity_tag, vms))) => {
                entity_tag = Some(new_entity_tag);
                fleet.send_replace(Arc::new(plausible(vms)));
            }
            Ok(None) => {}
            Err(error) => log::debug!("cannot read the platform's list of vms: {error}"),
        }
    }
}

/// Returns the vms without the entries that cannot be those of vms.
fn plausible(vms: Vec<platform::Vm>) -> Vec<Vm> {
    let (listed, odd): (Vec<Vm>, Vec<Vm>) =
        vms.into_iter().map(convert).partition(Vm::is_plausible);
    for vm in odd {
        log::warn!("the list has a vm {:?} with an unusable entry: {}", vm.name, vm.address);
    }
    listed
}

fn convert(vm: platform::Vm) -> Vm {
    let platform::Vm { name, address, data_centre, service, leaving } = vm;
    Vm { name, address, data_centre, service, leaving }
}
