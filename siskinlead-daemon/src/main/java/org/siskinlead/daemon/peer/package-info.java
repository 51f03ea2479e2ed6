/** TCP connections between daemons. */
@NullMarked
package org.siskinlead.daemon.peer;

import org.jspecify.annotations.NullMarked;
