package org.siskinlead.protocol.caller;

import java.util.List;
import java.util.Map;

/**
 * State of one daemon as shown to operators.
 * @param vm name of its VM
 * @param dataCentre data centre of its VM
 * @param inStanding whether the daemon is active: a member with a valid quorum lease and its configuration loaded
 * @param draining whether it completes its running requests in order to stop
 * @param headVersion version of the newest head that it has
 * @param revision configuration revision in force
 * @param members names of the VMs of all member daemons
 * @param targets number of known targets
 * @param suspected names of suspected targets
 * @param bounds maximum throughput in tokens per second, by {@code model@version}
 * @param counters counts since the start of the daemon, by name
 */
public record DaemonStatus(
        String vm,
        String dataCentre,
        boolean inStanding,
        boolean draining,
        long headVersion,
        long revision,
        List<String> members,
        int targets,
        List<String> suspected,
        Map<String, Double> bounds,
        Map<String, Long> counters) {}
