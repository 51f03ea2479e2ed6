/** Frames between daemons: a length prefix and a MessagePack map. A frame with a wrong key closes its connection. */
@NullMarked
package org.siskinlead.protocol.peer;

import org.jspecify.annotations.NullMarked;
