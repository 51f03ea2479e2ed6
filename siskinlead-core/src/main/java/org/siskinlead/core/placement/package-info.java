/**
 * Placement of model layers on engines. One daemon at a time issues the orders, guarded by a fencing token or an order
 * count; routing relies only on what engines report, not on orders.
 */
@NullMarked
package org.siskinlead.core.placement;

import org.jspecify.annotations.NullMarked;
