package org.siskinlead.core.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.outage.StoreOutages;
import org.siskinlead.core.pacing.Pacing;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Targets that are registered in the store. A target whose entry lapsed during a store outage stays listed for a grace
 * period after the outage, so that it can renew its entry; a target whose entry is removed while the store is available
 * is removed at once. Either way it leaves the list in time for no request to reach it after the drain period, which
 * begins when the removal becomes known here.
 */
public final class TargetRegistry {
    /**
     * Time from the first registration for which a daemon is still reading the list of targets, some of which register
     * again after an outage that ended meanwhile.
     */
    private static final long LISTING_MS = StoreOutages.LAPSE_GRACE_MS;

    /** Time for a request that was just sent to reach its target. */
    private static final long SEND_MARGIN_MS = 150;

    private static final int MAX_REMEMBERED_INSTANCES = 5_000;

    private final Timers timers;
    private final Timeline timeline;
    private final Map<String, TargetHealth> byId = new HashMap<>();
    private final StoreOutages outages;
    /** Times at which the removals became known of targets that may renew their entries, by id. */
    private final Map<String, Long> lapsed = new HashMap<>();

    /** Instances known to be leaving, also after their entries were removed; the oldest are forgotten. */
    private final Set<String> leavingInstances = boundedSet();

    private final List<Runnable> listeners = new ArrayList<>();
    private InstanceListener instanceListener = new InstanceListener() {
        @Override
        public void onGone(TargetHealth instance) {}

        @Override
        public void onBack(String instanceId) {}
    };
    /** Instances whose entries were removed although they had not said that they leave; the oldest are forgotten. */
    private final Set<String> goneInstances = boundedSet();

    private long maxLapsedMillis = Long.MAX_VALUE / 2;
    private long firstRegisteredAt = Long.MAX_VALUE;
    private Pacing pacing;

    /** Receives the end of instances of targets. */
    public interface InstanceListener {
        /**
         * Handles that an instance has ended, because another one has its id, or that its entry was removed.
         * @param instance the instance; {@link TargetHealth#hasEnded} tells whether it is known to have ended
         */
        void onGone(TargetHealth instance);

        /**
         * Handles that an instance whose entry was removed has registered again.
         * @param instanceId the instance
         */
        void onBack(String instanceId);
    }

    private TargetRegistry(Timers timers, Timeline timeline, StoreOutages outages) {
        this.timers = timers;
        this.timeline = timeline;
        this.outages = outages;
        this.pacing = Pacing.of("", List::of, timers, timeline);
    }

    /**
     * Creates an empty registry.
     * @param timers clock and scheduler
     * @param timeline log of the events of targets that join or leave
     * @param outages tells whether a missing entry may have lapsed
     * @return a registry without targets
     */
    public static TargetRegistry of(Timers timers, Timeline timeline, StoreOutages outages) {
        TargetRegistry registry = new TargetRegistry(timers, timeline, outages);
        outages.addListener(new StoreOutages.Listener() {
            @Override
            public void onOutageEnded() {
                timers.after(StoreOutages.LAPSE_GRACE_MS, registry::removeLapsed);
            }
        });
        return registry;
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
     * Sets the time within which requests may reach a target whose removal is known.
     * @param drainMillis drain period of targets, in milliseconds
     */
    public void setDrainPeriod(long drainMillis) {
        maxLapsedMillis = Math.max(0, drainMillis - SEND_MARGIN_MS);
    }

    /**
     * Sets the listener for the end of instances.
     * @param listener replaces the previous one
     */
    public void setInstanceListener(InstanceListener listener) {
        instanceListener = listener;
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
            TargetHealth joined = new TargetHealth(entry, timers, pacing);
            if (leavingInstances.contains(entry.instanceId())) {
                joined.markLeaving();
            }
            byId.put(entry.id(), joined);
            onReplaced(known, entry);
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

    private void onReplaced(@Nullable TargetHealth known, RegisteredTarget entry) {
        if (known != null && entry.startedAtMillis() > known.entry().startedAtMillis()) {
            known.markEnded();
            instanceListener.onGone(known);
        } else if (goneInstances.remove(entry.instanceId())) {
            instanceListener.onBack(entry.instanceId());
        }
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
     * until the grace period ends, but no longer than the drain period allows.
     * @param id identity of the target
     */
    public void unregister(String id) {
        TargetHealth known = byId.get(id);
        if (known == null || known.isRemoved()) {
            return;
        }
        if (outages.mayHaveLapsed()) {
            if (lapsed.putIfAbsent(id, timers.nowMillis()) == null) {
                timers.after(maxLapsedMillis, this::removeLapsed);
            }
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

    /** Notifies the listeners that a target, or its health, has changed. */
    public void notifyListeners() {
        listeners.forEach(Runnable::run);
    }

    private void removeLapsed() {
        long now = timers.nowMillis();
        for (Map.Entry<String, Long> each : List.copyOf(lapsed.entrySet())) {
            if (!outages.mayHaveLapsed()) {
                remove(each.getKey(), "entry lapsed and was not renewed");
            } else if (now - each.getValue() >= maxLapsedMillis) {
                remove(each.getKey(), "entry removed for as long as targets drain");
            }
        }
    }

    private void remove(String id, String reason) {
        lapsed.remove(id);
        TargetHealth known = byId.remove(id);
        if (known != null) {
            known.markRemoved();
            goneInstances.add(known.entry().instanceId());
            instanceListener.onGone(known);
            timeline.record(EventKind.TARGET_LEFT, "target", id, "reason", reason);
            notifyListeners();
        }
    }

    private static Set<String> boundedSet() {
        return Collections.newSetFromMap(new LinkedHashMap<>() {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > MAX_REMEMBERED_INSTANCES;
            }
        });
    }
}
