"""Types of the identifiers that all packages share.

Use these types in signatures instead of plain strings and integers.
"""

from typing import NewType

__all__ = [
    "AttemptNumber",
    "DataCentre",
    "Epoch",
    "GenerationId",
    "InstanceId",
    "ModelName",
    "NoteId",
    "OrganisationId",
    "PromptPartId",
    "Region",
    "RequestKey",
    "Revision",
    "ServiceName",
    "StoreEra",
    "TargetId",
    "VersionId",
]

InstanceId = NewType("InstanceId", str)
TargetId = NewType("TargetId", str)
OrganisationId = NewType("OrganisationId", str)
DataCentre = NewType("DataCentre", str)
Region = NewType("Region", str)
ModelName = NewType("ModelName", str)
PromptPartId = NewType("PromptPartId", str)
VersionId = NewType("VersionId", str)
ServiceName = NewType("ServiceName", str)
GenerationId = NewType("GenerationId", str)
RequestKey = NewType("RequestKey", str)
NoteId = NewType("NoteId", str)
AttemptNumber = NewType("AttemptNumber", int)
Epoch = NewType("Epoch", int)
Revision = NewType("Revision", int)
StoreEra = NewType("StoreEra", int)
