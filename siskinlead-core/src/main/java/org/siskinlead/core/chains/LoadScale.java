package org.siskinlead.core.chains;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.siskinlead.core.registry.TargetHealth;

/**
 * How many times this daemon's own load a data centre carries in all. Engines that receive requests report their load with
 * each answer, so a daemon that serves most of the callers, as after restarts, does not take the others to be as busy.
 */
public final class LoadScale {
    /** Own requests on reporting engines below which their reports say little about the scale. */
    private static final int MIN_OWN_REQUESTS = 4;
    /** Most that the scale may be, in daemons. */
    private static final double MAX_SCALE_PER_DAEMON = 2;

    private final Map<String, Double> byDataCentre;
    private final double defaultScale;

    private LoadScale(Map<String, Double> byDataCentre, double defaultScale) {
        this.byDataCentre = byDataCentre;
        this.defaultScale = defaultScale;
    }

    /**
     * Takes every daemon to have a load like this one's.
     * @param daemons number of daemons
     * @return the scale
     */
    public static LoadScale uniform(int daemons) {
        return new LoadScale(Map.of(), Math.max(1, daemons));
    }

    /**
     * Works the scale out from what engines reported.
     * @param targets the engines
     * @param daemons number of daemons, for data centres without reports
     * @return the scale
     */
    public static LoadScale of(Collection<TargetHealth> targets, int daemons) {
        Map<String, Integer> ownRequests = new HashMap<>();
        Map<String, Double> reportedRequests = new HashMap<>();
        for (TargetHealth target : targets) {
            if (target.hasReportedLoad()) {
                ownRequests.merge(target.entry().dataCentre(), target.inFlight(), Integer::sum);
                reportedRequests.merge(target.entry().dataCentre(), target.reportedLoad(), Double::sum);
            }
        }
        Map<String, Double> scales = new HashMap<>();
        ownRequests.forEach((dataCentre, mine) -> {
            if (mine >= MIN_OWN_REQUESTS) {
                double scale = reportedRequests.getOrDefault(dataCentre, 0.0) / mine;
                scales.put(dataCentre, Math.max(1, Math.min(MAX_SCALE_PER_DAEMON * daemons, scale)));
            }
        });
        return new LoadScale(scales, Math.max(1, daemons));
    }

    /**
     * Gets the scale of a data centre.
     * @param dataCentre its name
     * @return load of all daemons for each part of this one's, at least 1
     */
    public double of(String dataCentre) {
        return byDataCentre.getOrDefault(dataCentre, defaultScale);
    }
}
