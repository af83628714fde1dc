"""Routes for operators to submit, show and take back release notes."""

from typing import Any

import litestar
import msgspec

from sassafrasflow import configuration
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import releases
from sassafrasflow.api import auth

__all__ = ["OperatorRoutes"]


class OperatorRoutes:
    """Handle operators' requests on release notes."""

    def __init__(
        self,
        keeper: configuration.ConfigurationKeeper,
        note_manager: releases.NoteManager,
    ) -> None:
        self._keeper = keeper
        self._note_manager = note_manager

    async def submit(
        self, req: litestar.Request[Any, Any, Any]
    ) -> litestar.Response[Any]:
        """Check and store a new note."""
        auth.authenticate_operator(req, self._keeper.current)
        raw = await req.body()
        try:
            body = msgspec.json.decode(raw, type=releases.NoteBody)
            record = await self._note_manager.submit(body)
        except msgspec.MsgspecError as exc:
            raise _invalid_note([str(exc)]) from exc
        except ExceptionGroup as group:
            faults = [str(exc) for exc in group.exceptions]
            raise _invalid_note(faults) from group
        return _json(record, 201)

    async def show(
        self, req: litestar.Request[Any, Any, Any], note_id: str
    ) -> litestar.Response[Any]:
        """Return one note as JSON or as text."""
        auth.authenticate_operator(req, self._keeper.current)
        view = await self._note_manager.show(ids.NoteId(note_id))
        if view is None:
            raise _not_found(note_id)
        if req.query_params.get("format") == "text":
            return litestar.Response(
                releases.note_text(view), media_type="text/plain"
            )
        provenance = {"source": view.source.value, "age_s": view.age_s}
        return _json({**msgspec.to_builtins(view.record), **provenance})

    async def take_back(
        self, req: litestar.Request[Any, Any, Any], note_id: str
    ) -> litestar.Response[Any]:
        """Take back one note."""
        auth.authenticate_operator(req, self._keeper.current)
        try:
            record = await self._note_manager.take_back(ids.NoteId(note_id))
        except ExceptionGroup as group:
            raise _conflict(str(group.exceptions[0])) from None
        except (
            exceptions.ConfigurationConflict,
            exceptions.TableConflict,
        ) as exc:
            raise _conflict(f"{exc}; read the note again") from None
        if record is None:
            raise _not_found(note_id)
        return _json(record)

    async def list_notes(
        self, req: litestar.Request[Any, Any, Any]
    ) -> litestar.Response[Any]:
        """Return all notes."""
        auth.authenticate_operator(req, self._keeper.current)
        return _json(await self._note_manager.list_notes())


def _not_found(note_id: str) -> exceptions.Refusal:
    return exceptions.Refusal(
        exceptions.RefusalReason.NOT_FOUND,
        exceptions.Ran.NO,
        f"There is no note {note_id}.",
        status=404,
    )


def _conflict(detail: str) -> exceptions.Refusal:
    return exceptions.Refusal(
        exceptions.RefusalReason.CONFLICT,
        exceptions.Ran.NO,
        detail,
        status=409,
    )


def _json(body: Any, status: int = 200) -> litestar.Response[bytes]:
    return litestar.Response(
        msgspec.json.encode(body),
        status_code=status,
        media_type="application/json",
    )


def _invalid_note(faults: list[str]) -> exceptions.Refusal:
    return exceptions.Refusal(
        exceptions.RefusalReason.MALFORMED_REQUEST,
        exceptions.Ran.NO,
        "The note was not accepted.",
        status=422,
        faults=faults,
    )
