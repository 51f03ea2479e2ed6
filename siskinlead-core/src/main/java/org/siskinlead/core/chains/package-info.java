/**
 * Selection of the targets that run the layers of a request. A path covers every layer once and in order, within one
 * data centre where possible. A {@link org.siskinlead.core.gateway.Gateway} uses these paths; a
 * {@link org.siskinlead.core.node.Node} uses the chains of {@link org.siskinlead.core.routing.Fleet}.
 */
@NullMarked
package org.siskinlead.core.chains;

import org.jspecify.annotations.NullMarked;
