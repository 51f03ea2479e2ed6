package org.siskinlead.core.platform;

/**
 * Entry of the platform's list of VMs.
 * @param id name of the VM
 * @param address IP address and port on which it serves
 * @param dataCentre data centre in which it runs
 * @param role kind of software that runs on it
 * @param service name of the plain service, empty for model engines
 * @param state whether it is being removed
 */
public record VmEntry(String id, String address, String dataCentre, Role role, String service, State state) {
    /** Kind of software that runs on a VM. */
    public enum Role {
        ENGINE,
        SERVICE
    }

    /** Whether a VM is being removed. */
    public enum State {
        LIVE,
        LEAVING
    }
}
