/** Assembles the core's components into one daemon, driven by a single thread. */
@NullMarked
package org.siskinlead.core.node;

import org.jspecify.annotations.NullMarked;
