"""Generate Python code from the schema file; the generated code is committed."""

from pathlib import Path

from grpc_tools import protoc

PACKAGE = Path(__file__).parent.parent / "packages/hingesill-api/hingesill_api"


def generate():
    """Run the generator and make the imports of its output absolute."""
    out = PACKAGE / "generated"
    arguments = [
        "protoc",
        f"-I{PACKAGE / 'proto'}",
        f"--python_out={out}",
        f"--grpc_python_out={out}",
        "hingesill.proto",
    ]
    if protoc.main(arguments) != 0:
        raise SystemExit("the schema file could not be compiled")
    stub = out / "hingesill_pb2_grpc.py"
    text = stub.read_text()
    text = text.replace(
        "import hingesill_pb2 as",
        "from hingesill_api.generated import hingesill_pb2 as",
    )
    stub.write_text(text)


if __name__ == "__main__":
    generate()
