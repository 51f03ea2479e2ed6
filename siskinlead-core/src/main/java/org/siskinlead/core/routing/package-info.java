/**
 * Chains of targets that cover each layer of a model once and in order, and the strategies that select them. Selection
 * performs no I/O.
 */
@NullMarked
package org.siskinlead.core.routing;

import org.jspecify.annotations.NullMarked;
