package org.siskinlead.core.membership;

/**
 * One incarnation of a daemon.
 * @param vm name of its VM
 * @param incarnation number that differs at each start of the daemon, and grows by one when it rejoins
 * @param dataCentre data centre of the VM
 * @param entryAddress IP address and port for callers
 * @param peerAddress IP address and port for other daemons
 * @param draining whether it takes no new callers because it is about to stop
 * @param mayOwn whether it is eligible as an owner, see {@link Ownership}; set for a new member once the requests of
 * removed members have ended
 */
public record Member(
        String vm,
        long incarnation,
        String dataCentre,
        String entryAddress,
        String peerAddress,
        boolean draining,
        boolean mayOwn) {
    /**
     * Creates a member that joins for the first time.
     * @param vm name of its VM
     * @param incarnation number that differs at each start of the daemon
     * @param dataCentre data centre of the VM
     * @param entryAddress IP address and port for callers
     * @param peerAddress IP address and port for other daemons
     * @return the member, not yet eligible as an owner
     */
    public static Member joining(
            String vm, long incarnation, String dataCentre, String entryAddress, String peerAddress) {
        return new Member(vm, incarnation, dataCentre, entryAddress, peerAddress, false, false);
    }

    /**
     * Gets the identity of this incarnation.
     * @return name of the VM and hexadecimal incarnation, separated by a slash
     */
    public String id() {
        return vm + "/" + Long.toHexString(incarnation);
    }

    /**
     * Copies this member as draining and no longer eligible as an owner.
     * @return the copy
     */
    public Member asDraining() {
        return new Member(vm, incarnation, dataCentre, entryAddress, peerAddress, true, false);
    }

    /**
     * Copies this member as an eligible owner, unless it is draining.
     * @return the copy
     */
    public Member asEligibleOwner() {
        return new Member(vm, incarnation, dataCentre, entryAddress, peerAddress, draining, !draining);
    }

    /**
     * Copies this member as a new incarnation that joins again.
     * @return the copy
     */
    public Member rejoining() {
        return new Member(vm, incarnation + 1, dataCentre, entryAddress, peerAddress, draining, false);
    }
}
