package org.siskinlead.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.catalog.CallerLimits;
import org.siskinlead.core.catalog.Catalog;
import org.siskinlead.core.catalog.Route;
import org.siskinlead.core.catalog.RouteKind;
import org.siskinlead.core.catalog.Service;
import org.siskinlead.core.catalog.Team;
import org.siskinlead.core.catalog.WeightedService;

class PriorityLevelsTest {
    private static final Team FIRST = new Team("first", Set.of("a"), 0);
    private static final Team SECOND = new Team("second", Set.of("b"), 3);
    private static final Team WITHOUT = new Team("without", Set.of("c"), null);

    // Guards against a team's priority that hides the priorities of the routes, so that all kinds are one level.
    @Test
    void ordersByTheTeamThenByTheRouteWhereRoutesDiffer() {
        Route urgent = route("urgent", 1);
        Route patient = route("patient", 2);
        PriorityLevels levels = levels(List.of(urgent, patient), List.of(SECOND, FIRST));

        assertThat(levels.levelOf("s", urgent, FIRST)).isEqualTo(0);
        assertThat(levels.levelOf("s", patient, FIRST)).isEqualTo(1);
        assertThat(levels.levelOf("s", urgent, SECOND)).isEqualTo(2);
        assertThat(levels.levelOf("s", patient, SECOND)).isEqualTo(3);
    }

    @Test
    void usesTheRoutesPriorityWhereTheTeamHasNone() {
        Route urgent = route("urgent", 0);
        Route patient = route("patient", 7);
        PriorityLevels levels = levels(List.of(urgent, patient), List.of(WITHOUT, SECOND));

        assertThat(levels.levelOf("s", urgent, WITHOUT)).isEqualTo(0);
        assertThat(levels.levelOf("s", urgent, SECOND)).isEqualTo(1);
        assertThat(levels.levelOf("s", patient, WITHOUT)).isEqualTo(3);
    }

    @Test
    void keepsThePrioritiesWhereAllRoutesHaveTheSame() {
        Route only = route("only", 4);
        PriorityLevels levels = levels(List.of(only), List.of(SECOND, WITHOUT));

        assertThat(levels.levelOf("s", only, SECOND)).isEqualTo(3);
        assertThat(levels.levelOf("s", only, WITHOUT)).isEqualTo(4);
        assertThat(levels.levelOf("s", only, null)).isEqualTo(4);
    }

    private static PriorityLevels levels(List<Route> routes, List<Team> teams) {
        CallerLimits limits = new CallerLimits(1, 1, 1, 1);
        return PriorityLevels.of(Catalog.of(1, routes, List.of(new Service("s", "/", 1, null)), teams, limits));
    }

    private static Route route(String name, int priority) {
        List<WeightedService> services = List.of(new WeightedService("s", 1));
        return new Route(name, "host", "/" + name + "/", RouteKind.STREAM, services, 1, 1, 1, priority, 1, false, true);
    }
}
