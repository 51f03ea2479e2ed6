/** The siskinleadd daemon: reads the settings and connects the core to the network. */
@NullMarked
package org.siskinlead.daemon;

import org.jspecify.annotations.NullMarked;
