"""The admin commands of the controller: properties, Identify, Abort and Keep Alive.

The functions are stateless: the association holds the state.  Source: the NVM Express Base Specification;
byte offsets are relative to the submission queue entry.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from stalltiller.protocol import nvme

if TYPE_CHECKING:
    from stalltiller.adapters.nvme_association import Association
    from stalltiller.adapters.nvme_host_queue import HostQueue

PROPERTY_OFFSET_OFFSET = 44  # the field OFST of Property Get and Property Set
PROPERTY_VALUE_OFFSET = 48  # the field VALUE of Property Set
ABORT_QUEUE_ID_OFFSET = 40
ABORT_COMMAND_ID_OFFSET = 42
IDENTIFY_CNS_OFFSET = 40
CNS_MASK = 0xFF
CC_ENTRY_SIZES = 0x460000  # CC: queue entries of 64 and 16 bytes, the only sizes over fabrics
ABORT_DONE = 0  # result of Abort: the command was aborted
ABORT_NOT_FOUND = 1  # result of Abort: no such command is in flight


class AdminResult(NamedTuple):
    """The status and result in the completion of an admin command."""

    status: int
    result: int = 0


def run_admin_command(queue: HostQueue, association: Association, command: nvme.Command) -> AdminResult:
    """Run an admin command; data is sent here, on the queue, and the completion by the caller."""
    if command.opcode == nvme.FABRICS and command.nsid == nvme.PROPERTY_GET:
        return _get_property(association, command)
    if command.opcode == nvme.FABRICS and command.nsid == nvme.PROPERTY_SET:
        return _set_property(association, command)
    if command.opcode == nvme.KEEP_ALIVE:
        return AdminResult(nvme.OK)
    if command.opcode == nvme.ABORT:
        return _abort(association, command)
    if command.opcode == nvme.IDENTIFY:
        return _identify(queue, association, command)
    return AdminResult(nvme.BAD_OPCODE)


def _get_property(association: Association, command: nvme.Command) -> AdminResult:
    status = nvme.CSTS_READY * association.is_enabled | nvme.CSTS_SHUTDOWN_COMPLETE * association.is_shut_down
    values = {
        nvme.CAP: nvme.capabilities(),
        nvme.VS: nvme.VERSION,
        nvme.CSTS: status,
        nvme.CC: CC_ENTRY_SIZES | association.is_enabled,
    }
    value = values.get(command.u32(PROPERTY_OFFSET_OFFSET))
    if value is None:
        return AdminResult(nvme.INVALID_FIELD)
    return AdminResult(nvme.OK, value)


def _set_property(association: Association, command: nvme.Command) -> AdminResult:
    if command.u32(PROPERTY_OFFSET_OFFSET) != nvme.CC:
        return AdminResult(nvme.INVALID_FIELD)
    value = command.u64(PROPERTY_VALUE_OFFSET)
    association.is_enabled = bool(value & nvme.CC_ENABLE)
    association.is_shut_down = bool(value & nvme.CC_SHUTDOWN)
    if not association.is_enabled or association.is_shut_down:
        association.reset()
    return AdminResult(nvme.OK)


def _abort(association: Association, command: nvme.Command) -> AdminResult:
    """Cancel a command as if its host had disconnected, and complete it as aborted."""
    command_id = command.u16(ABORT_COMMAND_ID_OFFSET)
    queue = association.queues.get(command.u16(ABORT_QUEUE_ID_OFFSET))
    io_command = queue.commands.get(command_id) if queue is not None else None
    if queue is None or io_command is None:
        return AdminResult(nvme.OK, ABORT_NOT_FOUND)
    io_command.cancel()
    queue.send_completion(nvme.Completion(command_id, nvme.ABORTED, no_retry=io_command.is_write))
    return AdminResult(nvme.OK, ABORT_DONE)


def _identify(queue: HostQueue, association: Association, command: nvme.Command) -> AdminResult:
    page = _identify_page(association, command)
    if page is None:
        return AdminResult(nvme.INVALID_FIELD)
    queue.write(nvme.data_pdu(nvme.C2H_DATA, command.cid, 0, 0, page))
    return AdminResult(nvme.OK)


def _identify_page(association: Association, command: nvme.Command) -> bytes | None:
    """Return the data structure that an Identify command selects, None if it is not supported."""
    controller = association.controller
    namespaces = controller.mapping.namespaces
    match command.u32(IDENTIFY_CNS_OFFSET) & CNS_MASK:
        case nvme.CNS_CONTROLLER:
            return nvme.identify_controller(
                association.controller_id,
                controller.name,
                controller.mapping.subsystem,
                controller.retry_delays,
                max(namespaces, default=0),
            )
        case nvme.CNS_NAMESPACE if command.nsid in namespaces:
            namespace = namespaces[command.nsid]
            return nvme.identify_namespace(namespace.blocks, namespace.block_size)
        case nvme.CNS_ACTIVE_NAMESPACES:
            return nvme.active_namespaces(list(namespaces), command.nsid)
    return None
