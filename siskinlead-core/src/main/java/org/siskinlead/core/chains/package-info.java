/**
 * Selection of the targets that run the layers of a request. A path covers every layer once and in order, within one
 * data centre where possible.
 */
@NullMarked
package org.siskinlead.core.chains;

import org.jspecify.annotations.NullMarked;
