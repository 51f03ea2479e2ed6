/** Fakes of the core's interfaces, in virtual time and with injectable faults. */
package org.siskinlead.core.fakes;
