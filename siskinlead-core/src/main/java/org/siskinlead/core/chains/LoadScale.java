package org.siskinlead.core.chains;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.siskinlead.core.registry.TargetHealth;

/**
 * Ratio of the total load of a data centre to the load from this daemon. Engines that receive requests report their
 * load with each answer, so a daemon that serves most callers, as after restarts, does not assume that the others are
 * as busy.
 */
public final class LoadScale implements TargetLoads {
    /** Minimum number of own requests on reporting engines for their reports to be significant. */
    private static final int MIN_OWN_REQUESTS = 4;
    /** Maximum scale, as a multiple of the number of daemons. */
    private static final double MAX_SCALE_PER_DAEMON = 2;

    private final Map<String, Double> byDataCentre;
    private final double defaultScale;

    private LoadScale(Map<String, Double> byDataCentre, double defaultScale) {
        this.byDataCentre = byDataCentre;
        this.defaultScale = defaultScale;
    }

    /**
     * Creates a scale that assumes the same load from every daemon.
     * @param daemonCount number of daemons
     * @return scale with the same ratio for every data centre
     */
    public static LoadScale uniform(int daemonCount) {
        return new LoadScale(Map.of(), Math.max(1, daemonCount));
    }

    /**
     * Computes the scale of each data centre from the loads that engines reported.
     * @param targets engines with their reported loads
     * @param daemonCount number of daemons; used as the ratio of data centres without sufficient reports
     * @return scale by data centre
     */
    public static LoadScale of(Collection<TargetHealth> targets, int daemonCount) {
        Map<String, Integer> ownRequests = new HashMap<>();
        Map<String, Double> reportedRequests = new HashMap<>();
        for (TargetHealth target : targets) {
            if (target.hasReportedLoad()) {
                ownRequests.merge(target.entry().dataCentre(), target.inFlight(), Integer::sum);
                reportedRequests.merge(target.entry().dataCentre(), target.reportedLoad(), Double::sum);
            }
        }
        Map<String, Double> scales = new HashMap<>();
        ownRequests.forEach((dataCentre, own) -> {
            if (own >= MIN_OWN_REQUESTS) {
                double scale = reportedRequests.getOrDefault(dataCentre, 0.0) / own;
                scales.put(dataCentre, Math.max(1, Math.min(MAX_SCALE_PER_DAEMON * daemonCount, scale)));
            }
        });
        return new LoadScale(scales, Math.max(1, daemonCount));
    }

    /**
     * Gets the ratio of a data centre.
     * @param dataCentre name of the data centre
     * @return load from all daemons relative to the load from this one, at least 1
     */
    public double of(String dataCentre) {
        return byDataCentre.getOrDefault(dataCentre, defaultScale);
    }

    @Override
    public double concurrentRequests(TargetHealth target) {
        return target.inFlight() * of(target.entry().dataCentre());
    }

    @Override
    public double reservedTokenLayers(TargetHealth target) {
        return target.reservedTokenLayers() * of(target.entry().dataCentre());
    }
}
