/**
 * Placement of model layers on engines. One daemon at a time issues the orders; routing relies only on what engines
 * report, not on orders. A {@link org.siskinlead.core.node.Node} uses
 * {@link org.siskinlead.core.placement.PlacementController}, whose orders carry a fencing token; a
 * {@link org.siskinlead.core.gateway.Gateway} uses
 * {@link org.siskinlead.core.placement.LayerPlacementController}, whose orders carry the number of orders that the
 * engine has accepted before.
 */
@NullMarked
package org.siskinlead.core.placement;

import org.jspecify.annotations.NullMarked;
