package org.siskinlead.core.forwarding;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.balancing.FreeSlots;
import org.siskinlead.core.balancing.OwnLoads;
import org.siskinlead.core.balancing.PathShares;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.chains.Hop;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.chains.LoadScale;
import org.siskinlead.core.chains.PathFinder;
import org.siskinlead.core.chains.PathFinder.MemoryCheck;
import org.siskinlead.core.chains.TargetLoads;
import org.siskinlead.core.forwarding.ForwardingCounters.Count;
import org.siskinlead.core.pacing.Pacing;
import org.siskinlead.core.ratelimit.TargetRateLimits;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.routing.LayerRange;

/** Chooses a target, or a path of targets through all layers of a model, for a request. */
final class TargetChooser {
    /** Maximum random increase of a cost, as a fraction, so that daemons do not all choose the same target. */
    private static final double COST_JITTER = 0.3;

    /** Whether a target must have capacity for the request now. */
    enum CapacityCheck {
        ENFORCED,
        SKIPPED
    }

    /** Age of a limit after which a request is sent to ask for it. */
    private static final long ASK_FOR_LIMIT_AFTER_MS = 5_000;
    /** Largest cost of a choice that asks for a limit, as a multiple of the lowest one. */
    private static final double MAX_ASK_COST = 2;
    /** Age up to which a limit binds the use of an engine behind the first one, whose answers are not seen. */
    private static final long INNER_LIMIT_VALID_MS = 30_000;

    /** Number of daemons up to which own requests show the load of targets. */
    private static final int MAX_DAEMONS_OF_SMALL_FLEET = 8;

    private final ForwardingContext context;
    private boolean usesShares = true;
    private final Map<String, PathShares> sharesByService = new HashMap<>();

    TargetChooser(ForwardingContext context) {
        this.context = context;
    }

    /** Chooses in a large fleet as in a small one, by own requests times the number of daemons. */
    void useOwnLoads() {
        usesShares = false;
    }

    /** The target to which a request is sent, and for model engines the path that starts there. */
    record Choice(TargetHealth target, @Nullable HopPath path) {
        double cost() {
            return path == null ? target.cost() : path.cost();
        }
    }

    /**
     * Chooses the target or path with the least cost.
     * @param request the request
     * @param excludedInstances target instances to which the request must not be sent
     * @param check whether the targets must have free memory, and their limits leave room, for the request
     * @return the choice, empty when no target or path is usable
     */
    Optional<Choice> choose(AdmittedRequest request, Set<String> excludedInstances, CapacityCheck check) {
        return choose(request, excludedInstances, instanceId -> true, check);
    }

    /**
     * Chooses the target or path with the least cost.
     * @param request the request
     * @param excludedInstances target instances to which the request must not be sent
     * @param mayAnswer whether the request may be sent to a target instance that can be the first of a path
     * @param check whether the targets must have free memory, and their limits leave room, for the request
     * @return the choice, empty when no target or path is usable
     */
    Optional<Choice> choose(
            AdmittedRequest request, Set<String> excludedInstances, Predicate<String> mayAnswer, CapacityCheck check) {
        List<TargetHealth> registered = context.registry().of(request.service().name());
        Predicate<TargetHealth> permitted = target -> target.isUsable()
                && !excludedInstances.contains(target.entry().instanceId())
                && (!canBeFirst(request, target)
                        || mayAnswer.test(target.entry().instanceId()))
                && (check == CapacityCheck.SKIPPED || limitLeavesRoom(request, target));
        Optional<Choice> best = chooseAmong(request, registered, permitted.and(TargetHealth::admits), check);
        List<TargetHealth> leftOut = registered.stream()
                .filter(permitted.and(target -> !target.admits()))
                .toList();
        if (leftOut.isEmpty()) {
            return best;
        }
        context.registry().pacing().increment(Pacing.Count.LEFT_OUT);
        return best.or(() -> chooseDespitePace(request, registered, permitted, leftOut, check));
    }

    private Optional<Choice> chooseAmong(
            AdmittedRequest request,
            List<TargetHealth> registered,
            Predicate<TargetHealth> permitted,
            CapacityCheck check) {
        if (check == CapacityCheck.ENFORCED && isLargeFleet()) {
            return chooseByShares(request, registered, permitted);
        }
        List<TargetHealth> usable = registered.stream().filter(permitted).toList();
        Optional<Choice> best = cheapest(request, usable, check);
        return check == CapacityCheck.SKIPPED
                ? best
                : askForLimit(request, usable, best, u -> cheapest(request, u, CapacityCheck.ENFORCED))
                        .filter(choice -> interconnectHasRoom(request, choice));
    }

    private boolean isLargeFleet() {
        return usesShares && context.daemonCount().getAsInt() > MAX_DAEMONS_OF_SMALL_FLEET;
    }

    /** Chooses as if all daemons did so by the same shares, since own requests say little about the load of targets. */
    private Optional<Choice> chooseByShares(
            AdmittedRequest request, List<TargetHealth> registered, Predicate<TargetHealth> permitted) {
        EngineSpec engine = request.service().engine();
        if (engine == null) {
            List<TargetHealth> usable = registered.stream().filter(permitted).toList();
            Optional<Choice> drawn = FreeSlots.draw(usable, context.random()).map(t -> new Choice(t, null));
            return askForLimit(
                    request,
                    usable,
                    drawn,
                    u -> FreeSlots.draw(u, context.random()).map(t -> new Choice(t, null)));
        }
        PathShares shares = sharesByService.computeIfAbsent(request.service().name(), s -> newShares());
        shares.update(engine, registered, request.expectedTokens());
        if (!shares.hasRoom()) {
            return Optional.empty();
        }
        if (registered.stream().anyMatch(t -> isLimitStale(request, t) && permitted.test(t))) {
            List<TargetHealth> usable = registered.stream().filter(permitted).toList();
            Optional<Choice> best = search(request, usable, shares.loads());
            Optional<Choice> asked = askForLimit(request, usable, best, u -> search(request, u, shares.loads()));
            if (!asked.equals(best)) {
                return asked.filter(choice -> interconnectHasRoom(request, choice));
            }
        }
        Optional<Choice> drawn = shares.draw(request.expectedTokens(), path -> isPermitted(request, path, permitted))
                .map(path -> new Choice(path.first().target(), path));
        if (drawn.isPresent()) {
            context.counters().increment(Count.PATHS_DRAWN);
            return drawn;
        }
        context.counters().increment(Count.PATHS_SEARCHED);
        List<TargetHealth> usable = registered.stream().filter(permitted).toList();
        return search(request, usable, shares.loads())
                .or(() -> search(request, usable, OwnLoads.INSTANCE))
                .filter(choice -> interconnectHasRoom(request, choice));
    }

    private PathShares newShares() {
        return PathShares.of(
                context.timers(),
                context.daemonCount(),
                context.random(),
                () -> context.counters().increment(Count.PATH_PLANS));
    }

    /** Tells whether a path may be used; targets registered again since the plan are other instances. */
    private boolean isPermitted(AdmittedRequest request, HopPath path, Predicate<TargetHealth> permitted) {
        for (Hop hop : path.hops()) {
            TargetHealth target = hop.target();
            if (!permitted.test(target)
                    || context.registry().find(target.entry().id()).orElse(null) != target) {
                return false;
            }
        }
        return context.interconnect().hasRoom(request, path);
    }

    private Optional<Choice> search(AdmittedRequest request, List<TargetHealth> usable, TargetLoads loads) {
        EngineSpec engine = Objects.requireNonNull(request.service().engine());
        return PathFinder.of(engine, loads)
                .find(usable, request.expectedTokens(), MemoryCheck.ENFORCED)
                .map(path -> new Choice(path.first().target(), path));
    }

    /** Chooses among paced targets too, first without those that have been given the smallest part of their capacity. */
    private Optional<Choice> chooseDespitePace(
            AdmittedRequest request,
            List<TargetHealth> registered,
            Predicate<TargetHealth> permitted,
            List<TargetHealth> leftOut,
            CapacityCheck check) {
        Set<TargetHealth> furthest = new HashSet<>(leftOut.stream()
                .sorted(Comparator.comparingDouble(TargetHealth::capacityFraction)
                        .reversed())
                .limit((leftOut.size() + 1) / 2)
                .toList());
        Optional<Choice> best = chooseAmong(
                        request,
                        registered,
                        permitted.and(target -> target.admits() || furthest.contains(target)),
                        check)
                .or(() -> chooseAmong(request, registered, permitted, check));
        if (best.isPresent()) {
            context.registry().pacing().increment(Pacing.Count.OVERRIDDEN);
        }
        return best;
    }

    private boolean interconnectHasRoom(AdmittedRequest request, Choice choice) {
        HopPath path = choice.path();
        return path == null || context.interconnect().hasRoom(request, path);
    }

    /**
     * Chooses a target whose limit was named long ago, so that its next answer tells whether it still has one, unless
     * that costs the request much more than the best choice.
     */
    private Optional<Choice> askForLimit(
            AdmittedRequest request,
            List<TargetHealth> usable,
            Optional<Choice> best,
            Function<List<TargetHealth>, Optional<Choice>> chooseAmong) {
        List<TargetHealth> stale =
                usable.stream().filter(t -> isLimitStale(request, t)).toList();
        if (stale.isEmpty()) {
            return best;
        }
        TargetHealth target = stale.get(context.random().nextInt(stale.size()));
        List<TargetHealth> startingThere = usable.stream()
                .filter(t -> t == target || !canBeFirst(request, t))
                .toList();
        return chooseAmong
                .apply(startingThere)
                .filter(asked -> best.isEmpty()
                        || asked.cost() <= MAX_ASK_COST * best.get().cost())
                .or(() -> best);
    }

    private boolean isLimitStale(AdmittedRequest request, TargetHealth target) {
        return canBeFirst(request, target)
                && context.rateLimits().ageMillis(target.entry().instanceId()) > ASK_FOR_LIMIT_AFTER_MS;
    }

    private Optional<Choice> cheapest(AdmittedRequest request, List<TargetHealth> usable, CapacityCheck check) {
        EngineSpec engine = request.service().engine();
        if (engine == null) {
            return leastCost(usable).map(target -> new Choice(target, null));
        }
        MemoryCheck memoryCheck = check == CapacityCheck.ENFORCED ? MemoryCheck.ENFORCED : MemoryCheck.SKIPPED;
        return PathFinder.of(engine, LoadScale.of(usable, context.daemonCount().getAsInt()))
                .find(usable, request.expectedTokens(), memoryCheck)
                .map(path -> new Choice(path.first().target(), path));
    }

    /** Tells whether the targets in service could run a request, also those that are down or avoided for a time. */
    boolean hasPathInService(AdmittedRequest request) {
        List<TargetHealth> inService = context.registry().of(request.service().name()).stream()
                .filter(TargetHealth::isInService)
                .toList();
        return cheapest(request, inService, CapacityCheck.SKIPPED).isPresent();
    }

    /** Tells whether the limit of a target lets this daemon send it a request now. */
    private boolean limitLeavesRoom(AdmittedRequest request, TargetHealth target) {
        String instanceId = target.entry().instanceId();
        return context.rateLimits().millisToSend(instanceId) == 0
                || (!canBeFirst(request, target) && context.rateLimits().ageMillis(instanceId) > INNER_LIMIT_VALID_MS);
    }

    /** Tells whether a target can be the one that answers the request, so that its answers name its limit. */
    private static boolean canBeFirst(AdmittedRequest request, TargetHealth target) {
        LayerRange layers = target.entry().layers();
        return request.service().engine() == null || (layers != null && layers.from() == 0);
    }

    /**
     * Estimates the time until a target of the service may be sent a request, by what the targets have asked for: to be
     * left alone, or to get no more than a number of requests a second. Only targets that can be first on a path count.
     * @param request the request
     * @param ahead number of queued requests that will be sent before this one
     * @return milliseconds; 0 when one may be used now, or none is in service; {@link TargetRateLimits#NEVER} when the
     *     limits of all of them are held by other daemons
     */
    long millisToUse(AdmittedRequest request, int ahead) {
        List<TargetHealth> available = context.registry().of(request.service().name()).stream()
                .filter(t -> t.isAvailable() && canBeFirst(request, t))
                .toList();
        long earliest = available.isEmpty() ? 0 : TargetRateLimits.NEVER;
        double perMilli = 0;
        for (TargetHealth target : available) {
            String instanceId = target.entry().instanceId();
            long toSend = context.rateLimits().millisToSend(instanceId);
            earliest = Math.min(earliest, Math.max(target.millisToUse(), toSend));
            if (Double.isInfinite(context.rateLimits().perSecond(instanceId))) {
                perMilli = Double.POSITIVE_INFINITY;
            } else if (toSend < TargetRateLimits.NEVER) {
                long toNext = context.rateLimits().millisToSend(instanceId, 2);
                perMilli += toNext > toSend ? 1.0 / (toNext - toSend) : 0;
            }
        }
        boolean sharesRoom = perMilli > 0 && earliest < TargetRateLimits.NEVER;
        return sharesRoom ? earliest + Math.round(ahead / perMilli) : earliest;
    }

    private Optional<TargetHealth> leastCost(List<TargetHealth> usable) {
        TargetHealth best = null;
        double least = Double.MAX_VALUE;
        for (TargetHealth target : usable) {
            double cost = target.cost() * (1 + COST_JITTER * context.random().nextDouble());
            if (cost < least) {
                best = target;
                least = cost;
            }
        }
        return Optional.ofNullable(best);
    }
}
