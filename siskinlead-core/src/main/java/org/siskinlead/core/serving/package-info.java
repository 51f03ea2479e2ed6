/** Serves each request from admission to its outcome. Nothing here blocks, and every request ends exactly once. */
@NullMarked
package org.siskinlead.core.serving;

import org.jspecify.annotations.NullMarked;
