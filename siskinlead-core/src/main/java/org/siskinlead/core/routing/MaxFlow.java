package org.siskinlead.core.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Maximum flow of tokens through the targets of one model, by Dinic's algorithm. Nodes are layer boundaries, and each
 * target is an edge from its first layer to the layer after its last, with its throughput as capacity, as in Helix
 * (ASPLOS 2025).
 */
public final class MaxFlow {
    private static final double MIN_FLOW_TOKENS_PER_SECOND = 1e-9;

    private final int sink;
    private final List<List<Integer>> edgesOf = new ArrayList<>();
    private final int[] head;
    private final double[] residual;
    private int[] level = new int[0];
    private int[] nextEdge = new int[0];
    private double total;

    private MaxFlow(List<Target> targets) {
        this.sink = targets.isEmpty() ? 0 : targets.get(0).totalLayers();
        this.head = new int[2 * targets.size()];
        this.residual = new double[2 * targets.size()];
        for (int node = 0; node <= sink; node++) {
            edgesOf.add(new ArrayList<>());
        }
        for (int i = 0; i < targets.size(); i++) {
            addEdge(i, targets.get(i));
        }
        if (sink > 0) {
            solve();
        }
    }

    /**
     * Computes the maximum flow.
     * @param targets targets of one model and version
     * @return the flow; 0 if the targets do not cover all layers
     */
    public static MaxFlow of(List<Target> targets) {
        return new MaxFlow(targets);
    }

    /**
     * Gets the total flow, an upper bound of the throughput.
     * @return tokens per second
     */
    public double tokensPerSecond() {
        return total;
    }

    /**
     * Gets the flow through one target.
     * @param index index of the target in the list passed to {@link #of}
     * @return tokens per second
     */
    public double flowThrough(int index) {
        return residual[2 * index + 1];
    }

    private void addEdge(int index, Target target) {
        head[2 * index] = target.layers().to();
        head[2 * index + 1] = target.layers().from();
        residual[2 * index] = target.tokensPerSecond();
        edgesOf.get(target.layers().from()).add(2 * index);
        edgesOf.get(target.layers().to()).add(2 * index + 1);
    }

    private void solve() {
        while (assignLevels()) {
            nextEdge = new int[sink + 1];
            double pushed = push(0, Double.MAX_VALUE);
            while (pushed > MIN_FLOW_TOKENS_PER_SECOND) {
                total += pushed;
                pushed = push(0, Double.MAX_VALUE);
            }
        }
    }

    private boolean assignLevels() {
        level = new int[sink + 1];
        Arrays.fill(level, -1);
        level[0] = 0;
        ArrayDeque<Integer> queue = new ArrayDeque<>(List.of(0));
        while (!queue.isEmpty()) {
            int node = queue.remove();
            for (int edge : edgesOf.get(node)) {
                if (residual[edge] > MIN_FLOW_TOKENS_PER_SECOND && level[head[edge]] < 0) {
                    level[head[edge]] = level[node] + 1;
                    queue.add(head[edge]);
                }
            }
        }
        return level[sink] >= 0;
    }

    private double push(int node, double limit) {
        if (node == sink) {
            return limit;
        }
        List<Integer> edges = edgesOf.get(node);
        for (; nextEdge[node] < edges.size(); nextEdge[node]++) {
            int edge = edges.get(nextEdge[node]);
            if (residual[edge] <= MIN_FLOW_TOKENS_PER_SECOND || level[head[edge]] != level[node] + 1) {
                continue;
            }
            double pushed = push(head[edge], Math.min(limit, residual[edge]));
            if (pushed > MIN_FLOW_TOKENS_PER_SECOND) {
                residual[edge] -= pushed;
                residual[edge ^ 1] += pushed;
                return pushed;
            }
        }
        return 0;
    }
}
