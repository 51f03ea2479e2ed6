package org.siskinlead.core.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.siskinlead.core.pacing.Pacing;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Targets that are registered in the store. A target whose entry lapsed during a store outage stays listed for a grace
 * period after the outage, so that it can renew its entry; a target whose entry is removed while the store is available
 * is removed at once.
 */
public final class TargetRegistry {
    /** Time after a store outage for running targets to renew lapsed entries; the platform specifies 2 s. */
    public static final long LAPSE_GRACE_MS = 2_300;

    /**
     * Time from the first registration for which a daemon is still reading the list of targets, some of which register
     * again after an outage that ended meanwhile.
     */
    private static final long LISTING_MS = LAPSE_GRACE_MS;

    private static final int MAX_LEAVING_INSTANCES = 5_000;

    private final Timers timers;
    private final Timeline timeline;
    private final Map<String, TargetHealth> byId = new HashMap<>();
    private final Set<String> lapsed = new HashSet<>();
    /** Instances known to be leaving, also after their entries were removed; the oldest are forgotten. */
    private final Set<String> leavingInstances = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_LEAVING_INSTANCES;
        }
    });

    private final List<Runnable> listeners = new ArrayList<>();
    private long storeRegainedAtMillis = Long.MIN_VALUE / 2;
    private boolean storeLost;
    private long firstRegisteredAt = Long.MAX_VALUE;
    private Pacing pacing;

    private TargetRegistry(Timers timers, Timeline timeline) {
        this.timers = timers;
        this.timeline = timeline;
        this.pacing = Pacing.of("", List::of, timers, timeline);
    }

    /**
     * Creates an empty registry.
     * @param timers clock and scheduler
     * @param timeline log of the events of targets that join or leave
     * @return a registry without targets
     */
    public static TargetRegistry of(Timers timers, Timeline timeline) {
        return new TargetRegistry(timers, timeline);
    }

    // Queries

    /**
     * Lists the registered targets of a service.
     * @param service name of the service
     * @return targets, including those that are leaving or marked down
     */
    public List<TargetHealth> of(String service) {
        List<TargetHealth> found = new ArrayList<>();
        for (TargetHealth target : byId.values()) {
            if (!target.isRemoved() && target.entry().service().equals(service)) {
                found.add(target);
            }
        }
        return found;
    }

    /**
     * Finds a target by identity.
     * @param id identity of the target
     * @return the target, empty if it is not registered
     */
    public Optional<TargetHealth> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /**
     * Finds a target by address.
     * @param address IP address and port
     * @return the target, empty if none is registered with this address
     */
    public Optional<TargetHealth> findByAddress(String address) {
        return byId.values().stream()
                .filter(t -> !t.isRemoved() && t.entry().address().equals(address))
                .findFirst();
    }

    /**
     * Checks whether an instance of a target is registered.
     * @param instanceId the instance
     * @return false once its entry was removed or another instance has its id
     */
    public boolean isRegistered(String instanceId) {
        return byId.values().stream().anyMatch(t -> t.entry().instanceId().equals(instanceId));
    }

    /**
     * Counts the targets that get few requests because they have started or recovered.
     * @return number of paced targets
     */
    public long pacedCount() {
        return byId.values().stream().filter(TargetHealth::isPaced).count();
    }

    /**
     * Gets the slow start of targets that start or recover.
     * @return the pacing, without effect until {@link #setPacing} is called
     */
    public Pacing pacing() {
        return pacing;
    }

    // Commands

    /**
     * Sets the slow start of targets, before any target is registered.
     * @param newPacing the pacing
     */
    public void setPacing(Pacing newPacing) {
        pacing = newPacing;
    }

    /**
     * Adds a listener for targets that appear, change or leave.
     * @param listener called after each change
     */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Adds a target or updates its entry. An entry of a restarted target replaces the health of the earlier instance.
     * @param entry entry as read from the store
     */
    public void register(RegisteredTarget entry) {
        firstRegisteredAt = Math.min(firstRegisteredAt, timers.nowMillis());
        lapsed.remove(entry.id());
        if (entry.leaving()) {
            leavingInstances.add(entry.instanceId());
        }
        TargetHealth known = byId.get(entry.id());
        if (known != null && known.entry().instanceId().equals(entry.instanceId()) && !known.isRemoved()) {
            boolean left = entry.leaving() && !known.entry().leaving();
            known.update(entry);
            if (left) {
                timeline.record(EventKind.TARGET_LEFT, "target", entry.id(), "reason", "leaving");
            }
        } else {
            if (known != null && entry.startedAtMillis() > known.entry().startedAtMillis()) {
                known.markEnded();
            }
            TargetHealth joined = new TargetHealth(entry, timers, pacing);
            if (leavingInstances.contains(entry.instanceId())) {
                joined.markLeaving();
            }
            byId.put(entry.id(), joined);
            boolean isRestart = known != null && known.hasEnded();
            if (isRestart || timers.nowMillis() - firstRegisteredAt > LISTING_MS) {
                joined.beginPace(isRestart ? "restarted" : "registered");
            }
            timeline.record(
                    EventKind.TARGET_JOINED,
                    "target",
                    entry.id(),
                    "service",
                    entry.service(),
                    "dataCentre",
                    entry.dataCentre(),
                    "accelerator",
                    entry.accelerator());
        }
        notifyListeners();
    }

    /**
     * Leaves a target alone for a period that it has asked for.
     * @param target the target
     * @param millis period in milliseconds
     */
    public void onBackoff(TargetHealth target, long millis) {
        if (!target.isBackingOff()) {
            timeline.record(EventKind.TARGET_BACKOFF, "target", target.entry().id(), "forMs", millis);
        }
        target.backOff(millis);
    }

    /**
     * Handles that a target said in an answer that it is about to stop. It gets no new requests any more.
     * @param target the target
     */
    public void onLeaving(TargetHealth target) {
        if (target.markLeaving()) {
            leavingInstances.add(target.entry().instanceId());
            timeline.record(EventKind.TARGET_LEFT, "target", target.entry().id(), "reason", "leaving, by its answer");
            notifyListeners();
        }
    }

    /**
     * Handles the removal of an entry from the store. During and shortly after a store outage, the target stays listed
     * until the grace period ends.
     * @param id identity of the target
     */
    public void unregister(String id) {
        TargetHealth known = byId.get(id);
        if (known == null || known.isRemoved()) {
            return;
        }
        if (storeLost || timers.nowMillis() - storeRegainedAtMillis < LAPSE_GRACE_MS) {
            lapsed.add(id);
        } else {
            remove(id, "entry removed");
        }
    }

    /**
     * Handles the removal of all entries but the given ones, after the whole list was read from the store.
     * @param ids identities of the targets that are registered
     */
    public void retain(Collection<String> ids) {
        for (String id : List.copyOf(byId.keySet())) {
            if (!ids.contains(id)) {
                unregister(id);
            }
        }
    }

    /** Handles the loss of the connection to the store. */
    public void onStoreLost() {
        storeLost = true;
    }

    /** Handles the return of the store and starts the grace period for lapsed entries. */
    public void onStoreRegained() {
        storeLost = false;
        storeRegainedAtMillis = timers.nowMillis();
        timers.after(LAPSE_GRACE_MS, this::removeLapsed);
    }

    /** Notifies the listeners that a target, or its health, has changed. */
    public void notifyListeners() {
        listeners.forEach(Runnable::run);
    }

    private void removeLapsed() {
        if (storeLost || timers.nowMillis() - storeRegainedAtMillis < LAPSE_GRACE_MS) {
            return;
        }
        List.copyOf(lapsed).forEach(id -> remove(id, "entry lapsed and was not renewed"));
        lapsed.clear();
    }

    private void remove(String id, String reason) {
        TargetHealth known = byId.remove(id);
        if (known != null) {
            known.markRemoved();
            timeline.record(EventKind.TARGET_LEFT, "target", id, "reason", reason);
            notifyListeners();
        }
    }
}
