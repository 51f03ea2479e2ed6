/** JSON mapping that all processes share. */
@NullMarked
package org.siskinlead.protocol.json;

import org.jspecify.annotations.NullMarked;
