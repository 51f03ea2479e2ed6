package org.siskinlead.core.ratelimit;

import java.util.Collection;

/**
 * Order of the daemons for a target by rendezvous hashing (Thaler and Ravishankar, 1998). All daemons with the same
 * roster compute the same order, and a daemon that comes or goes moves the others by one place at most.
 */
public final class Rendezvous {
    /** Constants of the finalizer of MurmurHash3, which distributes similar names over all integers. */
    private static final long MIX_1 = 0xff51afd7ed558ccdL;

    private static final long MIX_2 = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;

    private Rendezvous() {}

    /**
     * Counts the daemons that come before a daemon in the order for a target.
     * @param vm name of the daemon's VM
     * @param vms names of the VMs of all serving daemons; that of this one may be missing
     * @param instanceId the target's instance
     * @return number of daemons, 0 for the first one
     */
    public static int rank(String vm, Collection<String> vms, String instanceId) {
        long own = weight(vm, instanceId);
        int rank = 0;
        for (String other : vms) {
            long weight = weight(other, instanceId);
            if (weight > own || (weight == own && other.compareTo(vm) < 0)) {
                rank++;
            }
        }
        return rank;
    }

    private static long weight(String vm, String instanceId) {
        long hash = ((long) vm.hashCode() << Integer.SIZE) ^ instanceId.hashCode();
        hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_1;
        hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_2;
        return hash ^ (hash >>> MIX_SHIFT);
    }
}
