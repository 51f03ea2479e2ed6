/**
 * Choice of targets in large fleets, where the few requests of one daemon say little about the load of a target. A
 * {@link org.siskinlead.core.balancing.PathPlan} gives each path of engines a share of the requests, and each request draws
 * one; plain targets are drawn by their free slots.
 */
@NullMarked
package org.siskinlead.core.balancing;

import org.jspecify.annotations.NullMarked;
