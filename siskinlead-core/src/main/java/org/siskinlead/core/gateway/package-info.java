/** Assembles the components of a daemon that forwards requests by routes. The embedding process supplies the ports. */
@NullMarked
package org.siskinlead.core.gateway;

import org.jspecify.annotations.NullMarked;
