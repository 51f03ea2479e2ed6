/** Order in which requests are sent to targets: priority levels, the send window of each service, shares of teams. */
@NullMarked
package org.siskinlead.core.admission;

import org.jspecify.annotations.NullMarked;
