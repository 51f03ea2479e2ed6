package org.siskinlead.core.membership;

/**
 * One incarnation of a daemon.
 * @param vm name of its VM
 * @param incarnation number that differs at each start
 * @param dataCentre data centre of the VM
 * @param entryAddress IP number and port for callers
 * @param peerAddress IP number and port for other daemons
 * @param draining whether it takes no new callers
 * @param mayOwn whether it may own limits and shards; a new member may once the work of removed ones has ended
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
     * Creates a member that is joining.
     * @param vm name of its VM
     * @param incarnation number that differs at each start
     * @param dataCentre data centre of the VM
     * @param entryAddress IP number and port for callers
     * @param peerAddress IP number and port for other daemons
     * @return the member, which may not own anything yet
     */
    public static Member joining(
            String vm, long incarnation, String dataCentre, String entryAddress, String peerAddress) {
        return new Member(vm, incarnation, dataCentre, entryAddress, peerAddress, false, false);
    }

    /**
     * Gets the identity of this incarnation.
     * @return VM and incarnation in one string
     */
    public String id() {
        return vm + "/" + Long.toHexString(incarnation);
    }

    /**
     * Copies this member as draining.
     * @return the copy
     */
    public Member asDraining() {
        return new Member(vm, incarnation, dataCentre, entryAddress, peerAddress, true, false);
    }

    /**
     * Copies this member as one that may own limits and shards, unless it is draining.
     * @return the copy
     */
    public Member asEligibleOwner() {
        return new Member(vm, incarnation, dataCentre, entryAddress, peerAddress, draining, !draining);
    }

    /**
     * Copies this member as a new incarnation that is joining again.
     * @return the copy
     */
    public Member rejoining() {
        return new Member(vm, incarnation + 1, dataCentre, entryAddress, peerAddress, draining, false);
    }
}
