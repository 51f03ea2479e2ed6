package org.siskinlead.daemon;

import java.util.List;
import org.siskinlead.core.node.Node;
import org.siskinlead.core.platform.VmEntry;
import org.siskinlead.daemon.loop.DecisionLoop;
import org.siskinlead.daemon.platform.PlatformClient;
import org.siskinlead.daemon.targets.TargetClient;

/** Polls the platform's VM list and the reports of the engines on it. */
final class VmPoller {
    private static final long LIST_INTERVAL_MS = 1_000;
    private static final long REPORT_INTERVAL_MS = 500;

    private final Node node;
    private final PlatformClient platform;
    private final TargetClient targets;
    private List<VmEntry> vms = List.of();

    private VmPoller(Node node, PlatformClient platform, TargetClient targets) {
        this.node = node;
        this.platform = platform;
        this.targets = targets;
    }

    static void start(Node node, PlatformClient platform, TargetClient targets, DecisionLoop loop) {
        VmPoller poller = new VmPoller(node, platform, targets);
        poller.pollVms();
        loop.every(LIST_INTERVAL_MS, poller::pollVms);
        loop.every(REPORT_INTERVAL_MS, poller::pollReports);
    }

    private void pollVms() {
        platform.listVms(currentVms -> {
            boolean isFirstList = vms.isEmpty();
            vms = currentVms;
            node.onVms(currentVms);
            if (isFirstList) {
                pollReports();
            }
        });
    }

    private void pollReports() {
        for (VmEntry vm : vms) {
            if (vm.role() == VmEntry.Role.ENGINE) {
                targets.requestReport(vm, node::onReport);
            }
        }
    }
}
